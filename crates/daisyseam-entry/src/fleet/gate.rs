//! Rates and bursts over the whole fleet, as this instance's share of them.

use crate::{
    RateGate,
    ViewCell, //
};
use daisyseam_model::{
    ErrorKind,
    FleetView,
    OrganisationId,
    RequestError,
    ServiceId, //
};
use daisyseam_runtime::TimerService;
use daisyseam_wire::{
    WireShareReply,
    WireShareReport, //
};
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// Admits an even part of each rate and burst; cheap to clone.
#[derive(Clone)]
pub struct FleetGate {
    shared: Arc<GateShared>,
}

struct GateShared {
    cell: ViewCell,
    timer: TimerService,
    buckets: Mutex<BTreeMap<BucketKey, TokenBucket>>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum BucketKey {
    Organisation(OrganisationId),
    OpenRoute(ServiceId),
}

/// Statements a second and at once.
#[derive(Clone, Copy, Debug)]
struct RateShare {
    rate: f64,
    burst: f64,
}

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: Instant,
}

impl FleetGate {
    /// Makes a gate.
    pub fn new(cell: ViewCell, timer: TimerService) -> Self {
        let shared = GateShared {
            cell,
            timer,
            buckets: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns what organisations have asked for, for control to move shares to.
    pub fn demand(&self) -> Option<WireShareReport> {
        None
    }

    /// Takes shares in.
    pub fn grant(&self, _reply: &WireShareReply) {}

    async fn take(&self, key: BucketKey, deadline: Instant) -> Result<(), RequestError> {
        loop {
            let view = self.shared.cell.valid()?;
            let share = share(&view, &key)?;
            let Some(wait) = self.take_now(&key, share) else {
                return Ok(());
            };
            let ready = Instant::now() + wait;
            if ready > deadline {
                return Err(RequestError::from(ErrorKind::RateExceeded).with_retry_after(wait));
            }
            self.shared.timer.at(ready).await;
        }
    }

    /// Takes a token, or returns how long to wait for one.
    fn take_now(&self, key: &BucketKey, share: RateShare) -> Option<Duration> {
        let now = Instant::now();
        let mut buckets = self.shared.buckets.lock();
        let bucket = buckets.entry(key.clone()).or_insert(TokenBucket {
            tokens: share.burst,
            filled_at: now,
        });
        let passed = now.saturating_duration_since(bucket.filled_at);
        bucket.tokens = (bucket.tokens + passed.as_secs_f64() * share.rate).min(share.burst);
        bucket.filled_at = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return None;
        }
        let missing = (1.0 - bucket.tokens) / share.rate;
        Some(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX / 4))
    }
}

impl RateGate for FleetGate {
    async fn admit(
        &self,
        organisation: &OrganisationId,
        deadline: Instant,
    ) -> Result<(), RequestError> {
        let key = BucketKey::Organisation(organisation.clone());
        self.take(key, deadline).await
    }

    async fn admit_open(&self, service: &ServiceId, deadline: Instant) -> Result<(), RequestError> {
        self.take(BucketKey::OpenRoute(service.clone()), deadline)
            .await
    }
}

/// Returns an even part of what the document gives.
fn share(view: &FleetView, key: &BucketKey) -> Result<RateShare, RequestError> {
    let document = view.document.as_deref().ok_or(ErrorKind::NoView)?;
    let (rate, burst) = match key {
        BucketKey::Organisation(organisation) => {
            let entry = document.organisations.get(organisation);
            entry.map(|entry| (entry.rate, entry.burst))
        }
        BucketKey::OpenRoute(service) => {
            let route = document.open_routes.get(service);
            route.map(|route| (route.rate, route.burst))
        }
    }
    .ok_or(ErrorKind::ServiceDenied)?;
    let instances = view.instances.len().max(1) as f64;
    Ok(RateShare {
        rate: rate / instances,
        burst: (burst / instances).max(1.0),
    })
}
