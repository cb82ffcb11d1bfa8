//! Executable of the control daemon.

use daisyseam_control::{
    ControlDaemon,
    ControlFlags,
    ControlSettings,
    StartError, //
};
use daisyseam_runtime::{
    SettingReader,
    StopSignal,
    exit,
    start_logs,
    stop_on_signal, //
};
use daisyseam_wire::PeerSecurity;
use std::{
    process::ExitCode,
    time::Duration, //
};

#[tokio::main]
async fn main() -> ExitCode {
    let flags: ControlFlags = argh::from_env();
    let (settings, security, deadline) = match flags.read(SettingReader::from_environment()) {
        Ok(settings) => settings,
        Err(problems) => {
            for problem in problems {
                eprintln!("{problem}");
            }
            return code(exit::USAGE);
        }
    };
    if let Err(error) = start_logs(log::LevelFilter::Info, None) {
        eprintln!("{error}");
        return code(exit::FAILURE);
    }
    code(run(settings, security, deadline).await)
}

async fn run(settings: ControlSettings, security: PeerSecurity, deadline: Duration) -> i32 {
    let stop = StopSignal::new();
    if let Err(error) = stop_on_signal(stop.clone()) {
        log::error!("cannot handle signals: {error}");
        return exit::FAILURE;
    }
    let daemon = match ControlDaemon::start_secured(settings, security).await {
        Ok(daemon) => daemon,
        Err(error) => {
            log::error!("{error}");
            return match error {
                StartError::Store(_) | StartError::Unreadable => exit::DATA_FOLDER,
                _ => exit::FAILURE,
            };
        }
    };
    log::info!("control listens on {}", daemon.address());
    tokio::select! {
        () = stop.stopped() => {}
        failure = daemon.failed() => {
            log::error!("{failure}");
            return failure.exit_code();
        }
    }
    if daemon.stop(deadline).await {
        exit::SUCCESS
    } else {
        log::warn!("the graceful stop was cut short by its deadline");
        exit::STOP_DEADLINE
    }
}

fn code(code: i32) -> ExitCode {
    ExitCode::from(u8::try_from(code).unwrap_or(u8::MAX))
}
