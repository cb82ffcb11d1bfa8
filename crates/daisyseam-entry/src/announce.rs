//! Announcements that databases send over HTTP, kept until a heartbeat forwards them to control.

use axum::{
    Json,
    Router,
    body::Bytes,
    extract::{
        DefaultBodyLimit,
        State, //
    },
    http::StatusCode,
    response::{
        IntoResponse,
        Response, //
    },
    routing::post, //
};
use daisyseam_model::{
    ClusterId,
    UpstreamId,
    announce::{
        Announcement,
        AnnouncementReply,
        UpstreamRole, //
    }, //
};
use daisyseam_wire::UpstreamReport;
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    sync::Arc, //
};
use tokio::time::Instant;

/// Maximum size of an announcement, in bytes.
const ANNOUNCEMENT_BYTES_MAX: usize = 8 << 10;

/// Maximum number of databases whose announcements are kept.
const ANNOUNCEMENTS_MAX: usize = 4_096;

/// Requested interval between announcements, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 500;

/// The latest announcement of each database since the last heartbeat.
#[derive(Clone)]
pub struct AnnouncementTable {
    cluster: ClusterId,
    entries: Arc<Mutex<BTreeMap<UpstreamId, (Announcement, Instant)>>>,
}

impl AnnouncementTable {
    /// Creates an empty table.
    pub fn new(cluster: ClusterId) -> Self {
        Self {
            cluster,
            entries: Arc::default(),
        }
    }

    /// Returns the HTTP route for announcements.
    pub fn routes(&self) -> Router {
        Router::new()
            .route("/announce", post(announce))
            .layer(DefaultBodyLimit::max(ANNOUNCEMENT_BYTES_MAX))
            .with_state(self.clone())
    }

    /// Removes and returns the announcements received since the last call.
    pub fn take_reports(&self) -> Vec<UpstreamReport> {
        let entries = std::mem::take(&mut *self.entries.lock());
        entries
            .into_values()
            .map(|(announcement, received_at)| report(&announcement, received_at))
            .collect()
    }

    fn insert(&self, announcement: Announcement) -> Result<(), (StatusCode, String)> {
        if announcement.cluster != self.cluster {
            return Err((
                StatusCode::FORBIDDEN,
                format!("this instance belongs to cluster `{}`", self.cluster),
            ));
        }
        let mut entries = self.entries.lock();
        let known = entries.contains_key(&announcement.upstream);
        if !known && entries.len() >= ANNOUNCEMENTS_MAX {
            return Err((
                StatusCode::TOO_MANY_REQUESTS,
                "too many databases have announced themselves to this instance".to_owned(),
            ));
        }
        let upstream = announcement.upstream.clone();
        entries.insert(upstream, (announcement, Instant::now()));
        Ok(())
    }
}

async fn announce(State(table): State<AnnouncementTable>, body: Bytes) -> Response {
    let announcement = match serde_json::from_slice::<Announcement>(&body) {
        Ok(announcement) => announcement,
        Err(error) => {
            let detail = format!("the announcement cannot be read: {error}\n");
            return (StatusCode::BAD_REQUEST, detail).into_response();
        }
    };
    match table.insert(announcement) {
        Ok(()) => Json(AnnouncementReply {
            next_ms: ANNOUNCE_INTERVAL_MS,
        })
        .into_response(),
        Err((status, detail)) => (status, format!("{detail}\n")).into_response(),
    }
}

fn report(announcement: &Announcement, received_at: Instant) -> UpstreamReport {
    UpstreamReport {
        upstream: announcement.upstream.to_string(),
        group: announcement.group.to_string(),
        data_centre: announcement.data_centre.to_string(),
        address: announcement.address.to_string(),
        admin_address: announcement.admin_address.to_string(),
        term: announcement.state.end.term.0,
        position: announcement.state.end.position.0,
        primary: announcement.state.role == UpstreamRole::Primary,
        leaving: announcement.leaving,
        age_ms: u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX),
        born_ms: 0,
        sequence: 0,
    }
}
