//! Urgency of requests, and the rule by which they wait for a database.

#[cfg(test)]
mod tests;

use daisyseam_model::document::Document;

/// Urgency of a request: the priority of its service, 0 being the most urgent.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Urgency(u32);

/// Rule by which requests wait for a database.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum QueueRule {
    /// All services have one priority: requests wait a fixed part of their target latency, and
    /// organisations take turns.
    #[default]
    Turns,
    /// The services differ in priority: requests wait in the order of urgency, as long as they are
    /// expected to be served within their target latency.
    Urgency,
}

impl Urgency {
    /// The most urgent.
    pub(crate) const HIGHEST: Self = Self(0);

    /// Returns the urgency of a service of this priority.
    pub(crate) fn of_priority(priority: u32) -> Self {
        Self(priority)
    }

    /// Returns the urgency of the most urgent services of a document.
    pub(crate) fn most_urgent(document: &Document) -> Self {
        let services = document.services.values();
        let priority = services.map(|service| service.priority).min();
        Self::of_priority(priority.unwrap_or_default())
    }

    /// Returns the priority of a service of this urgency.
    pub(crate) fn to_priority(self) -> u32 {
        self.0
    }

    /// Returns the name for this urgency of a counter with a name for each priority, the last for
    /// all further ones.
    pub(crate) fn counter<const N: usize>(self, names: [&'static str; N]) -> &'static str {
        let index = usize::try_from(self.0).unwrap_or(usize::MAX);
        names[index.min(N - 1)]
    }

    /// Returns the number that stands for this urgency in messages; 0 stands for none.
    pub(crate) fn to_wire(self) -> u32 {
        self.0.saturating_add(1)
    }

    /// Returns the urgency of a number in a message. Instances of an older version send 0, and
    /// their requests count as the most urgent.
    pub(crate) fn from_wire(number: u32) -> Self {
        Self(number.saturating_sub(1))
    }
}

impl QueueRule {
    /// Returns the rule for the services of a document.
    pub(crate) fn of(document: &Document) -> Self {
        let services = document.services.values();
        Self::of_priorities(services.map(|service| service.priority))
    }

    fn of_priorities(mut priorities: impl Iterator<Item = u32>) -> Self {
        let first = priorities.next();
        match priorities.all(|priority| Some(priority) == first) {
            true => Self::Turns,
            false => Self::Urgency,
        }
    }
}
