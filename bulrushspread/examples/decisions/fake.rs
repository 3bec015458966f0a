//! Fake nodes and replicas: a replica runs as many requests as it has slots and queues the rest.

use std::collections::{BTreeMap, VecDeque};

use bulrushspread::{
    id::{DataCentre, Incarnation, Upstream, Vm},
    membership::{
        View,
        view::{Node, Replica},
    },
    route::{Load, Settings, State},
    time::Millis,
};

pub(crate) const SERVES: &str = "svetovalec";
pub(crate) const SLOTS: usize = 16;
/// Replicas from this index on are in the other data centre, if there is one.
pub(crate) const NEAR: usize = 5;

pub(crate) fn name(index: usize) -> Upstream {
    Upstream(format!("engine-{index:03}"))
}

pub(crate) fn index(upstream: &Upstream) -> usize {
    upstream.0.trim_start_matches("engine-").parse().unwrap_or_default()
}

/// The routing state of one node.
pub(crate) fn state(nodes: usize, replicas: usize, seed: u64) -> State {
    spread_state(nodes, replicas, seed, replicas)
}

/// The routing state of one node, with the replicas from `near` on in another data centre.
pub(crate) fn spread_state(nodes: usize, replicas: usize, seed: u64, near: usize) -> State {
    let address = "127.0.0.1:1".parse().expect("an address");
    let home = DataCentre::from("ljubljana-a");
    let node = |index| {
        let node = Node {
            address,
            data_centre: home.clone(),
            incarnation: Incarnation(1),
            leaving: false,
        };
        (Vm(format!("entry-{index}")), node)
    };
    let replica = |index| {
        let data_centre = if index < near { home.clone() } else { DataCentre::from("celje-b") };
        let replica = Replica { serves: SERVES.into(), address, data_centre, leaving: false };
        (name(index), replica)
    };
    let view = View {
        nodes: (0..nodes).map(node).collect(),
        upstreams: (0..replicas).map(replica).collect(),
    };
    let mut state = State::new(Settings::default(), home, seed);
    state.apply_view(Millis(0), &view);
    state
}

/// A request at a replica.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) number: usize,
    pub(crate) prefix: u64,
    pub(crate) work: Millis,
}

/// A replica with slots, a queue and a cache of prefixes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    pub(crate) running: usize,
    pub(crate) queue: VecDeque<Job>,
    /// Prefixes by the time of their last use.
    cache: BTreeMap<u64, u64>,
    uses: u64,
}

impl Engine {
    pub(crate) fn load(&self, index: usize) -> Load {
        Load {
            upstream: name(index),
            in_flight: (self.running + self.queue.len()) as u32,
            slots: SLOTS as u32,
            age: Millis(0),
            loaded: Vec::new(),
            leaving: false,
        }
    }

    /// Whether the prefix is cached. Adds it to the cache otherwise.
    pub(crate) fn cached(&mut self, prefix: u64, capacity: usize) -> bool {
        self.uses += 1;
        let hit = self.cache.insert(prefix, self.uses).is_some();
        if self.cache.len() > capacity {
            let oldest = self.cache.iter().min_by_key(|(_, used)| **used).map(|(key, _)| *key);
            oldest.map(|oldest| self.cache.remove(&oldest));
        }
        hit
    }
}
