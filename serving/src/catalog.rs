//! The configuration in force: routes, services and the limits of callers.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use crate::{
    id::{Route as RouteId, Service},
    time::Millis,
};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    AtMostOnce,
    /// A stream of events. `resumable` streams may go on at another upstream.
    Stream { resumable: bool },
    /// Accepts batch jobs.
    Batch,
}

impl Kind {
    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        match self {
            Kind::Idempotent | Kind::Batch => true,
            Kind::AtMostOnce => false,
            Kind::Stream { resumable } => resumable,
        }
    }
}

/// One service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    pub service: Service,
    pub weight: u32,
}

/// Where requests of one host and path go, and what bounds them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub id: RouteId,
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    pub kind: Kind,
    /// At least one entry; the weights add up to more than zero.
    pub split: Vec<Share>,
    /// The longest that a request is kept waiting for its complete answer.
    pub timeout: Millis,
    /// The time within which a first answer is on time.
    pub latency_objective: Millis,
    /// Upstreams that one request is sent to at most. At least 1.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Batch only: the time after submission at which all results are due.
    pub results_due: Millis,
    /// Batch only: the time after submission from which an item may be abandoned.
    pub abandon_after: Millis,
    /// Batch only: tokens of accepted, unfinished items at most. 0 means no limit.
    pub token_quota: u64,
}

impl Route {
    /// The service for a draw in `0..1`.
    pub fn service(&self, draw: f64) -> &Service {
        let total: u32 = self.split.iter().map(|share| share.weight).sum();
        let mut left = draw * f64::from(total);
        for share in &self.split {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return &share.service;
            }
        }
        &self.split[self.split.len() - 1].service
    }
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    /// The longest that a caller may take to send the head of a request.
    pub header_timeout: Millis,
    /// The longest that a connection may stay idle between requests.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    pub version: u64,
    pub limits: Limits,
    /// By host; the longest prefix first.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
}

impl Catalog {
    pub fn new(version: u64, limits: Limits, routes: Vec<Route>) -> Catalog {
        let mut by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Catalog { version, limits, routes: by_host }
    }

    /// The route of a request: among those of its host, the one with the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Whether some route of `host` accepts batch jobs.
    pub fn has_batch(&self, host: &str) -> bool {
        let Some(routes) = self.routes.get(host) else { return false };
        routes.iter().any(|route| route.kind == Kind::Batch)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}

/// The configuration that a node holds. Its version never goes back within one run.
#[derive(Clone, Debug, Default)]
pub struct State {
    current: Option<Arc<Catalog>>,
}

impl State {
    pub fn current(&self) -> Option<Arc<Catalog>> {
        self.current.clone()
    }

    /// Takes a version over unless it is older than the one held. Tells whether it changed.
    pub fn offer(&mut self, catalog: Catalog) -> bool {
        if self.current.as_ref().is_some_and(|held| held.version >= catalog.version) {
            return false;
        }
        self.current = Some(Arc::new(catalog));
        true
    }
}

/// The configuration in force, shared by the slices of a process.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<Mutex<State>>);

impl Shared {
    pub fn current(&self) -> Option<Arc<Catalog>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).current()
    }

    /// Takes a version over unless it is older than the one held. Tells whether it changed.
    pub fn offer(&self, catalog: Catalog) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).offer(catalog)
    }
}
