//! `daisyseam-entry`: the entry daemon as a process.

use daisyseam_entry::{
    EntryArguments,
    EntryDaemon,
    EntrySettings,
    security::EntrySecurity, //
};
use daisyseam_runtime::{
    SettingReader,
    StopSignal,
    exit,
    start_logs,
    stop_on_signal, //
};
use log::LevelFilter;
use std::{
    path::PathBuf,
    time::Duration, //
};

/// Longest graceful stop if none is given.
const STOP_DEFAULT: Duration = Duration::from_secs(10);

/// Settings of the process around the daemon.
struct ProcessSettings {
    entry: EntrySettings,
    security: EntrySecurity,
    log_level: LevelFilter,
    log_file: Option<PathBuf>,
    threads: usize,
    stop: Duration,
}

fn main() {
    let arguments: EntryArguments = argh::from_env();
    let settings = match read_settings(arguments) {
        Ok(settings) => settings,
        Err(code) => std::process::exit(code),
    };
    std::process::exit(run(settings));
}

/// Reads the settings; prints every problem and returns the exit code if there is one.
fn read_settings(arguments: EntryArguments) -> Result<ProcessSettings, i32> {
    let mut reader = SettingReader::from_environment();
    let level = arguments.log_level.clone();
    let log_level = reader.with_default("log-level", level, LevelFilter::Info);
    let log_file = reader.optional("log-file", arguments.log_file.clone());
    let threads = reader.with_default("threads", arguments.threads.clone(), 1_usize);
    if threads == 0 {
        reader.problem("threads", "is zero".to_owned());
    }
    let stop = reader.millis("stop-ms", arguments.stop_ms.clone(), STOP_DEFAULT);
    let entry = EntrySettings::read(arguments.clone(), &mut reader);
    let security = entry
        .as_ref()
        .and_then(|entry| EntrySecurity::read_settings(&arguments, &entry.cluster, &mut reader));
    let settings = entry
        .zip(security)
        .map(|(entry, security)| ProcessSettings {
            entry,
            security,
            log_level,
            log_file,
            threads,
            stop,
        });
    reader.finish(settings).map_err(|problems| {
        for problem in problems {
            eprintln!("{problem}");
        }
        exit::USAGE
    })
}

fn run(settings: ProcessSettings) -> i32 {
    if let Err(error) = start_logs(settings.log_level, settings.log_file.as_deref()) {
        eprintln!("{error}");
        return exit::FAILURE;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(serve(settings)),
        Err(error) => {
            log::error!("the runtime cannot start: {error}");
            exit::FAILURE
        }
    }
}

async fn serve(settings: ProcessSettings) -> i32 {
    let stop = StopSignal::new();
    if let Err(error) = stop_on_signal(stop.clone()) {
        log::error!("signals cannot be handled: {error}");
        return exit::FAILURE;
    }
    let daemon = match EntryDaemon::start_secured(settings.entry, settings.security).await {
        Ok(daemon) => daemon,
        Err(error) => {
            log::error!("{error}");
            eprintln!("{error}");
            return exit::FAILURE;
        }
    };
    log::info!(
        "callers {}, peers {}, http {}",
        daemon.caller_address(),
        daemon.peer_address(),
        daemon.http_address()
    );
    stop.stopped().await;
    if daemon.stop(settings.stop).await {
        exit::SUCCESS
    } else {
        exit::STOP_DEADLINE
    }
}
