//! The signal that asks every part of a process to stop.

use std::io;
use tokio::{
    signal::unix::{
        SignalKind,
        signal, //
    },
    sync::watch, //
};

/// Tells parts that the process is stopping; every clone sees the same signal.
#[derive(Clone, Debug)]
pub struct StopSignal {
    sender: watch::Sender<bool>,
}

impl StopSignal {
    /// Makes a signal that has not been given.
    pub fn new() -> Self {
        Self {
            sender: watch::Sender::new(false),
        }
    }

    /// Gives the signal; more than once is the same as once.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the signal has been given.
    pub fn is_stopping(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the signal is given.
    pub async fn stopped(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = receiver.wait_for(|stopping| *stopping).await;
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// Gives the signal when the process gets SIGTERM or SIGINT.
///
/// # Errors
///
/// When the process may not handle signals.
pub fn stop_on_signal(stop: StopSignal) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop.stop();
    });
    Ok(())
}
