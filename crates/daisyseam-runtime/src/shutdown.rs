//! The signal that tells all tasks of a process to stop.

use std::io;
use tokio::{
    signal::unix::{
        SignalKind,
        signal, //
    },
    sync::watch, //
};

/// Tells tasks that the process is stopping; all clones share one signal.
#[derive(Clone, Debug)]
pub struct StopSignal {
    sender: watch::Sender<bool>,
}

impl StopSignal {
    /// Creates a signal that is not yet set.
    pub fn new() -> Self {
        Self {
            sender: watch::Sender::new(false),
        }
    }

    /// Sets the signal; repeated calls have no further effect.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the signal is set.
    pub fn is_stopping(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the signal is set.
    pub async fn stopped(&self) {
        let mut receiver = self.sender.subscribe();
        // `self` holds the sender, so the wait cannot fail.
        let _ = receiver.wait_for(|stopping| *stopping).await;
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// Sets the signal when the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// When a signal handler cannot be installed.
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
