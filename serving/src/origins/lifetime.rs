//! How long ago the streams can have begun that callers still resume.

use std::collections::BTreeMap;

use crate::{
    catalog::{Catalog, Kind},
    id::Service,
    time::Millis,
};

use super::state::RETENTION;

/// Time for which a replaced configuration may still be in force at other nodes.
const PROPAGATION: Millis = Millis(4_000);

/// The timeouts of the streams of each service, by the time at which the configuration with the
/// timeout was replaced; `None` while it is in force.
#[derive(Clone, Debug, Default)]
pub struct Lifetimes(BTreeMap<Service, BTreeMap<Millis, Option<Millis>>>);

impl Lifetimes {
    /// Applies a new configuration. Streams that began under the previous one keep its timeouts.
    pub fn update(&mut self, now: Millis, catalog: &Catalog) {
        for timeouts in self.0.values_mut() {
            timeouts.values_mut().for_each(|replaced_at| *replaced_at = replaced_at.or(Some(now)));
            timeouts.retain(|timeout, replaced_at| is_alive(now, *timeout, *replaced_at));
        }
        let is_resumable = Kind::Stream { resumable: true };
        for route in catalog.iter().filter(|route| route.kind == is_resumable) {
            for share in &route.split {
                let timeouts = self.0.entry(share.service.clone()).or_default();
                timeouts.insert(route.timeout, None);
            }
        }
        self.0.retain(|_, timeouts| !timeouts.is_empty());
    }

    /// How long ago a stream of `service` can have begun that a caller resumes now: the longest
    /// timeout under which it can have begun, and the time that callers take to resume.
    pub fn get(&self, now: Millis, service: &Service) -> Millis {
        let timeouts = self.0.get(service).into_iter().flatten();
        let alive =
            timeouts.filter(|(timeout, replaced_at)| is_alive(now, **timeout, **replaced_at));
        alive.map(|(timeout, _)| *timeout).max().unwrap_or_default() + RETENTION
    }
}

fn is_alive(now: Millis, timeout: Millis, replaced_at: Option<Millis>) -> bool {
    replaced_at.is_none_or(|at| now - at < timeout + RETENTION + PROPAGATION)
}
