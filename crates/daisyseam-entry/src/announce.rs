//! Announcements of databases over HTTP, kept until a heartbeat takes them to control.

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

/// Largest accepted announcement, in bytes.
const ANNOUNCEMENT_BYTES_MAX: usize = 8 << 10;

/// Most databases whose announcements are kept at once.
const ANNOUNCEMENTS_MAX: usize = 4_096;

/// Time until the next announcement is wanted, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 500;

/// The newest announcement of each database that no heartbeat has taken along yet.
#[derive(Clone)]
pub struct AnnouncementTable {
    cluster: ClusterId,
    entries: Arc<Mutex<BTreeMap<UpstreamId, (Announcement, Instant)>>>,
}

impl AnnouncementTable {
    /// Makes an empty book.
    pub fn new(cluster: ClusterId) -> Self {
        Self {
            cluster,
            entries: Arc::default(),
        }
    }

    /// Returns the HTTP route by which databases announce themselves.
    pub fn routes(&self) -> Router {
        Router::new()
            .route("/announce", post(announce))
            .layer(DefaultBodyLimit::max(ANNOUNCEMENT_BYTES_MAX))
            .with_state(self.clone())
    }

    /// Takes out what has been announced since the last call.
    pub fn take(&self) -> Vec<UpstreamReport> {
        let entries = std::mem::take(&mut *self.entries.lock());
        entries
            .into_values()
            .map(|(announcement, at)| report(&announcement, at))
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
                "too many databases announce themselves here".to_owned(),
            ));
        }
        let upstream = announcement.upstream.clone();
        entries.insert(upstream, (announcement, Instant::now()));
        Ok(())
    }
}

async fn announce(State(book): State<AnnouncementTable>, body: Bytes) -> Response {
    let announcement = match serde_json::from_slice::<Announcement>(&body) {
        Ok(announcement) => announcement,
        Err(error) => {
            let words = format!("the announcement cannot be read: {error}\n");
            return (StatusCode::BAD_REQUEST, words).into_response();
        }
    };
    match book.insert(announcement) {
        Ok(()) => Json(AnnouncementReply {
            next_ms: ANNOUNCE_INTERVAL_MS,
        })
        .into_response(),
        Err((status, words)) => (status, format!("{words}\n")).into_response(),
    }
}

fn report(announcement: &Announcement, at: Instant) -> UpstreamReport {
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
        age_ms: u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX),
        born_ms: 0,
        sequence: 0,
    }
}
