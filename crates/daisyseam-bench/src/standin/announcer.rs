//! Tells the entry instances of the data centre that this database is there.

use super::{
    core::StandInCore,
    options::StandInOptions, //
};
use daisyseam_model::announce::{
    Announcement,
    AnnouncementReply, //
};
use daisyseam_runtime::TimerService;
use parking_lot::RwLock;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// Time between announcements unless an entry wants another.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for an entry's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Announces one stand-in.
pub(super) struct Announcer {
    pub(super) core: Arc<StandInCore>,
    pub(super) options: Arc<StandInOptions>,
    pub(super) timer: TimerService,
    pub(super) client: reqwest::Client,
    /// The announcement but for its state.
    pub(super) template: Announcement,
    /// HTTP addresses of entry instances.
    pub(super) entries: Arc<RwLock<Vec<SocketAddr>>>,
}

impl Announcer {
    /// Announces for ever.
    pub(super) async fn run(self) {
        let mut next = 0_usize;
        let mut changes = self.core.subscribe();
        loop {
            self.options.unstalled().await;
            let role = changes.borrow_and_update().role;
            let entry = {
                let entries = self.entries.read();
                entries.get(next % entries.len().max(1)).copied()
            };
            let wait = match entry {
                Some(entry) => match self.announce(entry).await {
                    Some(reply) => Duration::from_millis(reply.next_ms).min(ANNOUNCE_INTERVAL),
                    None => {
                        next += 1;
                        ANNOUNCE_INTERVAL / 10
                    }
                },
                None => ANNOUNCE_INTERVAL / 10,
            };
            // A new role is told at once.
            let turned = changes.wait_for(|state| state.role != role);
            let _ = self.timer.within(Instant::now() + wait, turned).await;
        }
    }

    async fn announce(&self, entry: SocketAddr) -> Option<AnnouncementReply> {
        let announcement = Announcement {
            state: self.core.upstream(),
            leaving: self.options.is_leaving(),
            ..self.template.clone()
        };
        let request = self
            .client
            .post(format!("http://{entry}/announce"))
            .json(&announcement);
        let answer = async { request.send().await?.error_for_status()?.json().await };
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        match self.timer.within(deadline, answer).await? {
            Ok(reply) => Some(reply),
            Err(error) => {
                let error: reqwest::Error = error;
                log::debug!("{entry} did not take the announcement: {error}");
                None
            }
        }
    }
}
