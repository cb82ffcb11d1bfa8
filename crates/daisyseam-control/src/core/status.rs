//! Reports the state of control and the fleet as JSON.

use super::{
    ControlCore,
    RequestId,
    leader::LeaderState, //
};
use daisyseam_coord::Moment;
use daisyseam_model::{
    FleetView,
    GroupId,
    Incarnation,
    PrimaryState,
    UpstreamId, //
};
use daisyseam_wire::{
    StatusReply,
    control_message::Body, //
};
use serde_json::{
    Map,
    Value,
    json, //
};

impl ControlCore {
    pub(super) fn status(&mut self, now: Moment, request: RequestId) {
        let reply = StatusReply {
            json: self.status_json(now).to_string(),
            stale: self.is_stale(now),
        };
        self.reply(request, Body::StatusShown(reply));
    }

    /// Returns the state of control and the fleet as JSON.
    pub fn status_json(&self, now: Moment) -> Value {
        let view = self.fleet.view();
        let members = self.log.members();
        let names = |members: &std::collections::BTreeMap<_, std::net::SocketAddr>| {
            let name = |(name, address): (&daisyseam_model::InstanceId, _)| {
                (name.to_string(), json!(format!("{address}")))
            };
            members.iter().map(name).collect::<Map<String, Value>>()
        };
        json!({
            "cluster": self.settings.cluster.as_str(),
            "control": {
                "instance": self.settings.instance.as_str(),
                "leads": self.is_acting_leader(now),
                "leader": self.log.leader().map(ToString::to_string),
                "term": self.log.term().0,
                "commit": self.log.commit().0,
                "applied": self.applied.0,
                "voters": names(&members.voters),
                "learners": names(&members.learners),
                "spares": self.spare_names(),
            },
            "view": view.number.0,
            "document": view.document_number.0,
            "groups": self.groups_json(now),
            "instances": self.instances_json(now),
            "upstreams": self.upstreams_json(now),
            "usage": self.usage_json(),
        })
    }

    /// Returns the last windows of request counts; null if requests are not counted.
    fn usage_json(&self) -> Value {
        let history = self.fleet.usage();
        if !self.counts_usage() {
            return Value::Null;
        }
        let pending = history.pending().iter().map(|(window, counts)| {
            json!({
                "window": window,
                "requests": counts.values().sum::<u64>(),
                "state": "waiting",
            })
        });
        let recent = history.recent().map(|reported| {
            json!({
                "window": reported.window,
                "requests": reported.requests,
                "state": match reported.acknowledged {
                    true => "acknowledged",
                    false => "dropped",
                },
            })
        });
        let windows: Vec<Value> = recent.chain(pending).collect();
        json!({
            "decided": history.decided(),
            "waiting": history.pending().len(),
            "windows": windows,
        })
    }

    fn spare_names(&self) -> Vec<String> {
        let spares = self.leader.iter().flat_map(|leader| leader.spares.keys());
        spares.map(ToString::to_string).collect()
    }

    fn groups_json(&self, now: Moment) -> Map<String, Value> {
        let view = self.fleet.view();
        let group = |(name, group): (&GroupId, &daisyseam_model::GroupView)| {
            let (state, primary) = match &group.primary {
                PrimaryState::Fenced => ("fenced", None),
                PrimaryState::Draining(primary) => ("draining", Some(primary)),
                PrimaryState::Active(primary) => ("active", Some(primary)),
            };
            let value = json!({
                "term": group.term.0,
                "state": state,
                "primary": primary.map(UpstreamId::as_str),
                "lineage_start": group.lineage_start.to_string(),
                "in_force_everywhere": self.is_in_force(now, name),
            });
            (name.to_string(), value)
        };
        view.groups.iter().map(group).collect()
    }

    fn is_in_force(&self, now: Moment, group: &GroupId) -> Option<bool> {
        let leader = self.leader.as_ref()?;
        let changed = leader.group_changes.get(group).copied();
        Some(
            leader
                .leases
                .is_change_complete(now, changed.unwrap_or(leader.start_view)),
        )
    }

    fn instances_json(&self, now: Moment) -> Map<String, Value> {
        let view = self.fleet.view();
        let mut map = Map::new();
        for (name, instance) in &view.instances {
            let lease = self.leader.as_ref().map(|leader| {
                let Incarnation(_) = instance.incarnation;
                let held = leader.leases.view(instance.incarnation);
                json!({
                    "view": held.map(|held| held.0),
                    "lags": held.is_none_or(|held| held < view.number),
                    "lease": leader.leases.may_hold(now, instance.incarnation),
                    "silent_ms": millis(leader.leases.silence(now, instance.incarnation)),
                })
            });
            let value = json!({
                "incarnation": instance.incarnation.0,
                "data_centre": instance.data_centre.as_str(),
                "peer_address": instance.peer_address.to_string(),
                "leaving": instance.leaving,
                "lease": lease,
            });
            map.insert(name.to_string(), value);
        }
        map
    }

    fn upstreams_json(&self, now: Moment) -> Map<String, Value> {
        let view = self.fleet.view();
        let mut map = Map::new();
        for (name, upstream) in &view.upstreams {
            let announced = self
                .leader
                .as_ref()
                .and_then(|leader| leader.announced.get(name));
            let state = announced.map(|announced| {
                json!({
                    "term": announced.state.end.term.0,
                    "position": announced.state.end.position.to_string(),
                    "primary": announced.state.primary,
                    "silent_ms": millis(now.since(announced.announced_at)),
                    "behind_bytes": self.leader.as_ref().and_then(|leader| {
                        leader.behind(view, &upstream.group, announced.state.end.position.0)
                    }),
                })
            });
            let value = json!({
                "group": upstream.group.as_str(),
                "data_centre": upstream.data_centre.as_str(),
                "address": upstream.address.to_string(),
                "admin_address": upstream.admin_address.to_string(),
                "holder": upstream.holder.as_ref().map(ToString::to_string),
                "leaving": upstream.leaving,
                "announced": state,
            });
            map.insert(name.to_string(), value);
        }
        map
    }
}

impl LeaderState {
    /// Returns by how many bytes a database lagged behind its primary when both last announced.
    fn behind(&self, view: &FleetView, group: &GroupId, position: u64) -> Option<u64> {
        let primary = view.groups.get(group)?.primary.active()?;
        let primary = self.announced.get(primary)?;
        Some(primary.state.end.position.0.saturating_sub(position))
    }
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
