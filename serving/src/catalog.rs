//! The active configuration: routes, their services, and limits for callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::{
    access::Directory,
    id::{Route as RouteId, Service},
    time::Millis,
};

/// Kind of a route, which decides whether its requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once for each attempt of its caller.
    AtMostOnce,
    /// The response is a stream of events. A `resumable` stream may continue at another upstream.
    Stream { resumable: bool },
    /// Accepts batch jobs.
    Batch,
}

impl Kind {
    /// Whether a request that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        match self {
            Kind::Idempotent | Kind::Batch => true,
            Kind::AtMostOnce => false,
            Kind::Stream { resumable } => resumable,
        }
    }
}

/// The share of one service in the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    pub service: Service,
    pub weight: u32,
}

/// The services, limits and objectives for requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub id: RouteId,
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    pub kind: Kind,
    /// Whether requests need no key although the configuration has workspaces.
    pub is_public: bool,
    /// Weighted services. At least one entry; the sum of the weights is greater than zero.
    pub split: Vec<Share>,
    /// Time within which the complete response must be sent.
    pub timeout: Millis,
    /// Target for the time from the arrival of a request to the first byte of its response.
    pub latency_objective: Millis,
    /// Maximum number of upstreams that one request is sent to. At least 1.
    pub max_attempts: u32,
    /// Priority rank; 0 is the most urgent.
    pub priority: u32,
    /// Batch only: time after submission at which all results are due.
    pub results_due: Millis,
    /// Batch only: time after submission from which unfinished items may be abandoned.
    pub abandon_after: Millis,
    /// Batch only: maximum number of tokens in accepted, unfinished items. 0 means no limit.
    pub token_quota: u64,
}

impl Route {
    pub fn key(&self) -> RouteKey {
        RouteKey { id: self.id.clone(), prefix: self.prefix.clone() }
    }

    /// The services that requests may go to.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.split.iter().filter(|share| share.weight > 0).map(|share| &share.service)
    }

    /// Selects a service by weight for a uniformly distributed random number `sample` in `0..1`.
    pub fn select_service(&self, sample: f64) -> &Service {
        let selected = self.select_among(sample, |_| true);
        selected.unwrap_or(&self.split[self.split.len() - 1].service)
    }

    /// Selects one of the services that `is_usable` accepts by weight for a uniformly distributed
    /// random number `sample` in `0..1`. `None` if it accepts none.
    pub fn select_among(
        &self,
        sample: f64,
        is_usable: impl Fn(&Service) -> bool,
    ) -> Option<&Service> {
        let is_usable = |share: &&Share| share.weight > 0 && is_usable(&share.service);
        let usable: Vec<&Share> = self.split.iter().filter(is_usable).collect();
        let total: f64 = usable.iter().map(|share| f64::from(share.weight)).sum();
        let mut remaining = sample * total;
        let selected = usable.iter().find(|share| {
            remaining -= f64::from(share.weight);
            remaining < 0.0
        });
        selected.or(usable.last()).map(|share| &share.service)
    }
}

/// What identifies a route in later configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteKey {
    pub id: RouteId,
    pub prefix: String,
}

/// Size limits and timeouts for the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the head of a request.
    pub header_bytes: usize,
    /// Maximum size of the body of a request.
    pub body_bytes: usize,
    /// Time within which a caller must send the head of a request.
    pub header_timeout: Millis,
    /// Time for which a connection may stay idle between requests.
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
    /// Keys of the workspaces; `None` if requests need no key.
    pub workspaces: Option<Directory>,
    /// Routes by host, sorted by descending length of their prefix.
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
        Catalog { version, limits, workspaces: None, routes: by_host }
    }

    /// Finds the route of a request: the one with the longest matching prefix among those of
    /// `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Finds the route of a job that was accepted under the route `accepted` with a submission to `path`:
    /// the one with that id, else with that prefix. A job whose route is gone or unknown goes to the
    /// batch route with the longest prefix that begins the path. Routes of other kinds don't count.
    pub fn find_batch(
        &self,
        host: &str,
        path: &str,
        accepted: Option<&RouteKey>,
    ) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let batch = || routes.iter().filter(|route| route.kind == Kind::Batch);
        let same = accepted.and_then(|key| {
            let by_id = batch().find(|route| route.id == key.id);
            by_id.or_else(|| batch().find(|route| route.prefix == key.prefix))
        });
        same.or_else(|| batch().find(|route| path.starts_with(&route.prefix)))
    }

    /// The hosts that have batch routes.
    pub fn batch_hosts(&self) -> impl Iterator<Item = &String> {
        let has_batch =
            |routes: &Vec<Arc<Route>>| routes.iter().any(|route| route.kind == Kind::Batch);
        self.routes.iter().filter(move |(_, routes)| has_batch(routes)).map(|(host, _)| host)
    }

    /// Whether callers without a key may submit jobs to a host.
    pub fn has_public_batch_route(&self, host: &str) -> bool {
        let routes = self.routes.get(host).into_iter().flatten();
        routes.into_iter().any(|route| route.kind == Kind::Batch && route.is_public)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}

/// The configuration of a node. Its version never decreases while the process runs.
#[derive(Clone, Debug, Default)]
pub struct State {
    current: Option<Arc<Catalog>>,
    /// Hosts that have had batch routes, whose jobs outlive them. At most `MAX_BATCH_HOSTS`.
    batch_hosts: BTreeSet<String>,
}

/// Maximum number of hosts that are remembered for their batch routes.
const MAX_BATCH_HOSTS: usize = 4_096;

impl State {
    pub fn current(&self) -> Option<Arc<Catalog>> {
        self.current.clone()
    }

    /// Replaces the configuration if `catalog` has a higher version. Returns whether it did.
    pub fn update(&mut self, catalog: Catalog) -> bool {
        if self.current.as_ref().is_some_and(|current| current.version >= catalog.version) {
            return false;
        }
        self.remember(&catalog);
        self.current = Some(Arc::new(catalog));
        true
    }

    /// Remembers the batch routes of an earlier configuration.
    pub fn remember(&mut self, catalog: &Catalog) {
        let room = MAX_BATCH_HOSTS.saturating_sub(self.batch_hosts.len());
        self.batch_hosts.extend(catalog.batch_hosts().take(room).cloned());
    }

    /// Whether a host has a batch route, or is known to have had one.
    pub fn has_had_jobs(&self, host: &str) -> bool {
        self.batch_hosts.contains(host)
    }
}

/// The active configuration, shared between the tasks of a process.
#[derive(Clone, Debug, Default)]
pub struct Handle(Arc<Mutex<State>>);

impl Handle {
    pub fn current(&self) -> Option<Arc<Catalog>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).current()
    }

    /// Remembers the batch routes of an earlier configuration.
    pub fn remember(&self, catalog: &Catalog) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).remember(catalog);
    }

    /// Whether a host has a batch route, or is known to have had one.
    pub fn has_had_jobs(&self, host: &str) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).has_had_jobs(host)
    }

    /// Replaces the configuration if `catalog` has a higher version. Returns whether it did.
    pub fn update(&self, catalog: Catalog) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).update(catalog)
    }
}
