//! The entry point of the console.

use daisyseam_console::{
    ConsoleOptions,
    ConsoleServer,
    ConsoleSettings,
    hash_password, //
};
use daisyseam_runtime::{
    SettingReader,
    StopSignal,
    exit,
    start_logs,
    stop_on_signal, //
};
use log::LevelFilter;
use std::io;
use zeroize::Zeroizing;

fn main() {
    let options: ConsoleOptions = argh::from_env();
    let result = if options.hash_password {
        print_hash()
    } else {
        serve(options)
    };
    let code = result.unwrap_or_else(|failure| {
        eprintln!("daisyseam-console: {}", failure.message);
        failure.code
    });
    std::process::exit(code);
}

/// Why the program failed, and its exit code.
struct ProgramFailure {
    message: String,
    code: i32,
}

impl ProgramFailure {
    fn new(error: impl std::fmt::Display) -> Self {
        Self {
            message: error.to_string(),
            code: exit::FAILURE,
        }
    }
}

fn print_hash() -> Result<i32, ProgramFailure> {
    let mut line = Zeroizing::new(String::new());
    io::stdin()
        .read_line(&mut line)
        .map_err(ProgramFailure::new)?;
    let password = line.trim_end_matches(['\r', '\n']);
    println!("{}", hash_password(password).map_err(ProgramFailure::new)?);
    Ok(exit::SUCCESS)
}

fn serve(options: ConsoleOptions) -> Result<i32, ProgramFailure> {
    let reader = SettingReader::from_environment();
    let settings = ConsoleSettings::read(options, reader).map_err(|problems| {
        let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
        ProgramFailure {
            message: format!("settings are not valid:\n  {}", lines.join("\n  ")),
            code: exit::USAGE,
        }
    })?;
    start_logs(LevelFilter::Info, None).map_err(ProgramFailure::new)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .map_err(ProgramFailure::new)?;
    runtime.block_on(async {
        let stop = StopSignal::new();
        stop_on_signal(stop.clone()).map_err(ProgramFailure::new)?;
        let server = ConsoleServer::start(settings)
            .await
            .map_err(ProgramFailure::new)?;
        log::info!("the console listens on {}", server.address());
        stop.stopped().await;
        Ok(exit::SUCCESS)
    })
}
