//! Composition of a node: what its slices share and what feeds them.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use crate::{
    balance, catalog,
    catalog::Catalog,
    exchange, fleet,
    fleet::Change,
    id::{DataCentre, Upstream, Vm},
    metrics::Metrics,
    quarantine::Quarantine,
    time::{Clock, Millis},
    upstream,
};

/// How long a request that crashed upstreams is remembered.
const QUARANTINE_KEEP: Millis = Millis(60_000);

/// Lines on changes of the fleet that came at once, as at the start before many upstreams.
const CHANGE_LINES: usize = 32;

/// What a node is given at its start.
pub struct Identity {
    pub vm: Vm,
    pub data_centre: DataCentre,
    /// Seed of the random draws of the node's decisions.
    pub seed: u64,
}

/// The settings of the product's slices.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub balance: balance::Settings,
    pub pool: upstream::Settings,
}

/// One running node.
pub struct Node {
    pub identity: Identity,
    pub exchange: Arc<exchange::Context>,
    pub catalog: catalog::Shared,
    fleet: Mutex<fleet::State>,
    draining: AtomicBool,
}

impl Node {
    pub fn new(
        identity: Identity,
        settings: Settings,
        clock: Clock,
        codec: Arc<dyn upstream::Codec>,
        metrics: Arc<Metrics>,
    ) -> Node {
        let home = identity.data_centre.clone();
        let balance = balance::State::new(settings.balance, home, identity.seed);
        let exchange = exchange::Context {
            clock,
            balance: Mutex::new(balance),
            quarantine: Mutex::new(Quarantine::new(QUARANTINE_KEEP)),
            pool: Arc::new(upstream::Pool::new(settings.pool)),
            codec,
            metrics,
        };
        Node {
            identity,
            exchange: Arc::new(exchange),
            catalog: catalog::Shared::default(),
            fleet: Mutex::default(),
            draining: AtomicBool::new(false),
        }
    }

    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.current()
    }

    /// Takes a configuration over unless a newer one is in force.
    pub fn offer_catalog(&self, catalog: Catalog, source: &str) {
        let version = catalog.version;
        let routes = catalog.iter().count();
        if self.catalog.offer(catalog) {
            log::info!(version = version, routes = routes, source = source; "configuration in force");
        }
    }

    /// The registry has answered; to be called before the changes of that answer.
    pub fn record_registry_read(&self) {
        lock(&self.fleet).record_registry_read(self.exchange.clock.now());
    }

    /// The registry was read as a whole.
    pub fn replace_fleet(&self, entries: BTreeMap<Upstream, fleet::Entry>) {
        let changes = lock(&self.fleet).replace(self.exchange.clock.now(), entries);
        self.apply(&changes);
    }

    /// Entries of upstreams were written in this order, or removed where there is none.
    pub fn update_fleet(&self, entries: Vec<(Upstream, Option<fleet::Entry>)>) {
        let now = self.exchange.clock.now();
        let mut fleet = lock(&self.fleet);
        let change = |(upstream, entry)| match entry {
            Some(entry) => fleet.upsert(upstream, entry),
            None => fleet.remove(now, &upstream),
        };
        let changes: Vec<Change> = entries.into_iter().filter_map(change).collect();
        drop(fleet);
        self.apply(&changes);
    }

    /// Work that is due from time to time.
    pub fn tick(&self) {
        let gone = lock(&self.fleet).expire(self.exchange.clock.now());
        self.apply(&gone);
        self.exchange.pool.close_expired();
    }

    /// Whether new callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.catalog().is_some() && !lock(&self.fleet).entries().is_empty()
    }

    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// The process has been asked to stop.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        log::info!("draining: no longer ready, answers ask callers to reconnect");
    }

    fn apply(&self, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        let fleet = lock(&self.fleet);
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
        for change in changes.iter().take(CHANGE_LINES) {
            log::info!(change:? = change, known = known; "fleet changed");
        }
        if let Some(more) = changes.len().checked_sub(CHANGE_LINES).filter(|more| *more > 0) {
            log::info!(more = more, known = known; "fleet changed in more places");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
