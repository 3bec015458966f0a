//! The state of a node that its tasks share, and the inputs that update it.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::sync::Notify;

use crate::{
    access::{self, Guard, lease::Reading},
    balance, catalog,
    catalog::Catalog,
    exchange, fleet,
    fleet::{Change, History},
    forward::Forwarders,
    id::{DataCentre, Upstream, Vm},
    metrics::Metrics,
    origins::Origins,
    parts,
    quarantine::Quarantine,
    shutdown::Shutdown,
    tenure::Epochs,
    time::{Clock, Millis},
    upstream,
};

/// Time for which a request that crashed upstreams is remembered.
const QUARANTINE_RETENTION: Millis = Millis(60_000);

/// Limit of log lines for fleet changes that are applied together, which are many at startup.
const MAX_CHANGE_LINES: usize = 32;

/// Time after its start in which a node keeps requests until it has read the configuration and the
/// registry. A refusal would cost callers a retry after all nodes were lost, when they return at once.
const STARTUP_TIME: Millis = Millis(300);

/// The identity of a node, fixed for the lifetime of the process.
pub struct Identity {
    pub vm: Vm,
    pub data_centre: DataCentre,
    /// Seed of the random number generator of the node.
    pub seed: u64,
}

/// Settings of load balancing, of the connections to upstreams and of the lease on keys.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub access: access::lease::Settings,
    pub balance: balance::Settings,
    pub pool: upstream::Settings,
}

/// The shared state of a running node.
pub struct Node {
    pub identity: Identity,
    pub exchange: Arc<exchange::Context>,
    pub catalog: catalog::Handle,
    draining: AtomicBool,
    /// Notified of each update of the configuration or of the whole fleet.
    updated: Notify,
}

impl Node {
    pub fn new(
        identity: Identity,
        settings: Settings,
        clock: Clock,
        codec: Arc<dyn upstream::Codec>,
        metrics: Arc<Metrics>,
    ) -> Node {
        let data_centre = identity.data_centre.clone();
        let balance = balance::State::new(settings.balance, data_centre, identity.seed);
        let fleet = Arc::new(Mutex::<fleet::State>::default());
        let catalog = catalog::Handle::default();
        let pool = upstream::Pool::new(settings.pool);
        let exchange = exchange::Context {
            access: Guard::new(settings.access, clock.clone(), catalog.clone()),
            origins: Arc::new(Origins::new(clock.clone(), Arc::clone(&fleet))),
            clock,
            fleet,
            balance: Mutex::new(balance),
            quarantine: Mutex::new(Quarantine::new(QUARANTINE_RETENTION)),
            parts: Mutex::new(parts::State::new(identity.seed)),
            uplink: Mutex::default(),
            forwarders: Forwarders::sharing_memory(&pool),
            epochs: Epochs::default(),
            shutdown: Shutdown::default(),
            pool: Arc::new(pool),
            codec,
            metrics,
        };
        Node {
            identity,
            exchange: Arc::new(exchange),
            catalog,
            draining: AtomicBool::new(false),
            updated: Notify::new(),
        }
    }

    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.current()
    }

    /// Replaces the configuration if `catalog` has a higher version. `source` is logged.
    pub fn update_catalog(&self, catalog: Catalog, source: &str) {
        let version = catalog.version;
        let routes = catalog.iter().count();
        if self.catalog().is_none_or(|current| current.version < version) {
            self.exchange.origins.update_lifetimes(&catalog);
        }
        if self.catalog.update(catalog) {
            self.exchange.access.update_tokens();
            log::info!(version = version, routes = routes, source = source; "configuration updated");
        }
        self.updated.notify_waiters();
    }

    /// Records a read of the configuration's topic after its configurations were applied. Returns
    /// whether it confirmed that nothing newer exists.
    pub fn record_configuration_read(&self, reading: Reading) -> bool {
        let is_confirmed = self.exchange.access.record(reading);
        self.updated.notify_waiters();
        is_confirmed
    }

    /// Records that the registry was read successfully. Must be called before the changes from that
    /// read are applied.
    pub fn record_registry_read(&self) {
        lock(&self.exchange.fleet).record_registry_read(self.exchange.clock.boot_time());
    }

    /// Records that a read of the registry failed that was sent at `sent_at`.
    pub fn record_registry_failure(&self, sent_at: Millis) {
        lock(&self.exchange.fleet).record_registry_failure(sent_at);
    }

    /// Records that everything was applied that a read of the registry returned which was sent at
    /// `sent_at`.
    pub fn confirm_registry_read(&self, sent_at: Millis) {
        lock(&self.exchange.fleet).confirm(sent_at);
        self.exchange.origins.reads.record(sent_at);
    }

    /// Applies what the log holds of the registry's past before the latest full read.
    pub fn add_history(&self, history: History) {
        log::info!(reach_ms = history.reach.0, versions = history.software.len(); "history of the registry read");
        lock(&self.exchange.fleet).add_history(self.exchange.clock.boot_time(), history);
    }

    /// Replaces the fleet by `entries`, the complete contents of the registry.
    pub fn replace_fleet(&self, entries: BTreeMap<Upstream, fleet::Entry>) {
        let changes = lock(&self.exchange.fleet).replace(self.exchange.clock.boot_time(), entries);
        self.apply_changes(&changes);
        self.updated.notify_waiters();
    }

    /// Applies changes of the registry in order: `None` removes the entry of an upstream.
    pub fn update_fleet(&self, entries: Vec<(Upstream, Option<fleet::Entry>)>) {
        let now = self.exchange.clock.boot_time();
        let mut fleet = lock(&self.exchange.fleet);
        let change = |(upstream, entry)| match entry {
            Some(entry) => fleet.upsert(now, upstream, entry),
            None => fleet.remove(now, &upstream),
        };
        let changes: Vec<Change> = entries.into_iter().filter_map(change).collect();
        drop(fleet);
        self.apply_changes(&changes);
    }

    /// Time until [`Node::tick`] has to remove an upstream.
    pub fn time_to_expiry(&self) -> Option<Millis> {
        let next = lock(&self.exchange.fleet).next_expiry();
        next.map(|at| at - self.exchange.clock.boot_time())
    }

    /// Removes expired upstreams and closes expired connections. Must be called periodically.
    pub fn tick(&self) {
        let expired = lock(&self.exchange.fleet).expire(self.exchange.clock.boot_time());
        self.apply_changes(&expired);
        self.exchange.pool.close_expired();
        self.exchange.forwarders.close_expired();
        let age = self.exchange.access.age().filter(|_| self.exchange.access.has_keys());
        self.exchange.metrics.key_age.set(age.map_or(0, |age| age.0 as i64));
    }

    /// Whether the node is ready for new callers: it has a configuration whose keys it may use and
    /// at least one upstream, and is not draining.
    pub fn is_ready(&self) -> bool {
        !self.is_draining()
            && self.catalog().is_some_and(|catalog| self.exchange.access.is_valid(&catalog))
            && !lock(&self.exchange.fleet).entries().is_empty()
    }

    /// Waits until a node that has just started can serve requests, or until its startup time is
    /// over.
    pub async fn wait_for_startup(&self) {
        loop {
            let updated = self.updated.notified();
            let now = self.exchange.clock.now();
            if now >= STARTUP_TIME || self.is_ready() || self.is_draining() {
                return;
            }
            // The loop ends with the startup time.
            let _ = tokio::time::timeout((STARTUP_TIME - now).duration(), updated).await;
        }
    }

    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Withdraws readiness so that the node can shut down.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        log::info!("draining: readiness withdrawn; responses ask callers to reconnect");
    }

    /// Propagates changes of the fleet to load balancing and the connection pool, and logs them.
    fn apply_changes(&self, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        let fleet = lock(&self.exchange.fleet);
        let mut balance = self.exchange.balance();
        for change in changes {
            match fleet.entries().get(change.upstream()) {
                Some(entry) => balance.upsert(change.upstream(), entry),
                None => balance.remove(change.upstream()),
            }
        }
        let known = fleet.entries().len();
        drop(balance);
        drop(fleet);
        for change in changes {
            if let Change::Restarted(upstream) | Change::Gone(upstream) = change {
                self.exchange.pool.close_idle(upstream);
            }
        }
        for change in changes.iter().take(MAX_CHANGE_LINES) {
            log::info!(change:? = change, known = known; "fleet changed");
        }
        if let Some(more) = changes.len().checked_sub(MAX_CHANGE_LINES).filter(|more| *more > 0) {
            log::info!(more = more, known = known; "further fleet changes not logged individually");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
