//! `daisyseam-entry`, the process of the entry daemon.

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

/// Default time limit of a graceful stop.
const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of the process, including those of the daemon.
struct ProcessSettings {
    entry: EntrySettings,
    security: EntrySecurity,
    log_level: LevelFilter,
    log_file: Option<PathBuf>,
    threads: usize,
    stop_timeout: Duration,
}

fn main() {
    let arguments: EntryArguments = argh::from_env();
    let settings = match read_settings(arguments) {
        Ok(settings) => settings,
        Err(code) => std::process::exit(code),
    };
    std::process::exit(run(settings));
}

/// Reads the settings; on problems, prints each of them and returns the exit code.
fn read_settings(arguments: EntryArguments) -> Result<ProcessSettings, i32> {
    let mut reader = SettingReader::from_environment();
    let level = arguments.log_level.clone();
    let log_level = reader.with_default("log-level", level, LevelFilter::Info);
    let log_file = reader.optional("log-file", arguments.log_file.clone());
    let threads = reader.with_default("threads", arguments.threads.clone(), 1_usize);
    if threads == 0 {
        reader.problem("threads", "must not be zero".to_owned());
    }
    let stop_timeout = reader.millis("stop-ms", arguments.stop_ms.clone(), DEFAULT_STOP_TIMEOUT);
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
            stop_timeout,
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
            log::error!("failed to start the async runtime: {error}");
            exit::FAILURE
        }
    }
}

async fn serve(settings: ProcessSettings) -> i32 {
    let stop = StopSignal::new();
    if let Err(error) = stop_on_signal(stop.clone()) {
        log::error!("failed to set up signal handling: {error}");
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
        "listening for callers on {}, for peers on {}, for HTTP on {}",
        daemon.caller_address(),
        daemon.peer_address(),
        daemon.http_address()
    );
    stop.stopped().await;
    if daemon.stop(settings.stop_timeout).await {
        exit::SUCCESS
    } else {
        exit::STOP_DEADLINE
    }
}
