//! Failure detection and gossip among a few dozen membership states in one simulated network.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use bulrushspread::{
    id::{DataCentre, Incarnation, Upstream, Vm},
    membership::{
        Settings, State,
        message::{Message, Version},
        overlay::neighbours,
        state::{Action, Event},
    },
    time::Millis,
    vms::{Listed, Phase, Role},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const TICK: u64 = 50;
/// Time after a partition in which suspicions from the partition may still lead to a removal.
const REFUTATION_MS: u64 = 1_500;
const DATA_CENTRES: [&str; 4] = ["ljubljana-a", "celje-b", "kranj-c", "novo-mesto-d"];

/// Membership states in a network that delays and loses messages.
struct Network {
    now: u64,
    rng: SmallRng,
    nodes: BTreeMap<SocketAddr, State>,
    in_flight: BTreeMap<(u64, u64), (SocketAddr, Event)>,
    sent: u64,
    loss: f64,
    /// Pairs of data centres that cannot reach each other.
    partitioned: BTreeSet<(usize, usize)>,
    /// The nodes in each node's latest published view.
    published: BTreeMap<SocketAddr, BTreeSet<Vm>>,
    /// Pairs of running nodes of which the first removed the second.
    wrongly_removed: BTreeSet<(usize, usize)>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16))
}

fn vm(index: usize) -> Vm {
    Vm(format!("entry-{index}"))
}

fn index_at(address: SocketAddr) -> usize {
    address.port() as usize - 1_000
}

fn data_centre(index: usize) -> usize {
    index % DATA_CENTRES.len()
}

fn node(index: usize, incarnation: u64) -> State {
    let data_centre_name = DataCentre::from(DATA_CENTRES[data_centre(index)]);
    let version = Version { incarnation: Incarnation(incarnation), refutation: 0 };
    State::new(
        vm(index),
        address(index),
        data_centre_name,
        version,
        Settings::default(),
        index as u64,
    )
}

fn entry(index: usize) -> Listed {
    let data_centre = DataCentre::from(DATA_CENTRES[data_centre(index)]);
    let (vm, address) = (vm(index), address(index));
    Listed { vm, address, data_centre, phase: Phase::Live, role: Role::Entry }
}

fn engine(phase: Phase) -> Listed {
    let role = Role::Upstream { serves: "svetovalec".to_string() };
    Listed { vm: Vm::from("engine-0"), phase, role, ..entry(900) }
}

impl Network {
    /// Nodes whose membership has converged after the start.
    fn converged(nodes: usize, seed: u64, loss: f64) -> Network {
        let mut network = Network::started(nodes, seed, loss);
        network.run(15_000);
        network.wrongly_removed.clear();
        network
    }

    /// Nodes right after the start, which know only the VM list.
    fn started(nodes: usize, seed: u64, loss: f64) -> Network {
        let mut network = Network {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            nodes: (0..nodes).map(|index| (address(index), node(index, 1))).collect(),
            in_flight: BTreeMap::new(),
            sent: 0,
            loss,
            partitioned: BTreeSet::new(),
            published: BTreeMap::new(),
            wrongly_removed: BTreeSet::new(),
        };
        let mut listed: Vec<Listed> = (0..nodes).map(entry).collect();
        listed.push(engine(Phase::Live));
        network.list_everywhere(&listed);
        network
    }

    fn list_everywhere(&mut self, listed: &[Listed]) {
        for to in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.apply(to, Event::Listed(listed.to_vec()));
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            for to in self.nodes.keys().copied().collect::<Vec<_>>() {
                self.apply(to, Event::Tick);
            }
            self.now += TICK;
            while let Some(next) =
                self.in_flight.first_entry().filter(|next| next.key().0 <= self.now)
            {
                let (to, event) = next.remove();
                self.apply(to, event);
            }
        }
    }

    fn apply(&mut self, to: SocketAddr, event: Event) {
        let Some(state) = self.nodes.get_mut(&to) else { return };
        let actions = state.apply(Millis(self.now), event);
        let from = to;
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(from, to, message),
                Action::Exchange { to, table } => self.exchange(from, to, Message::Table(table)),
                Action::Publish(view) => {
                    let published: BTreeSet<Vm> = view.nodes.into_keys().collect();
                    let before = self.published.insert(from, published.clone()).unwrap_or_default();
                    let running = self.nodes.keys().copied().map(index_at);
                    let removed = running.filter(|index| {
                        before.contains(&vm(*index)) && !published.contains(&vm(*index))
                    });
                    self.wrongly_removed.extend(removed.map(|index| (index_at(from), index)));
                }
                Action::PeerHead { .. } => {}
            }
        }
    }

    fn connected(&mut self, from: SocketAddr, to: SocketAddr) -> bool {
        let centre_of = |at: SocketAddr| data_centre(index_at(at));
        let (a, b) = (centre_of(from).min(centre_of(to)), centre_of(from).max(centre_of(to)));
        !self.partitioned.contains(&(a, b)) && !self.rng.random_bool(self.loss)
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        if !self.connected(from, to) {
            return;
        }
        self.sent += 1;
        let at = self.now + self.rng.random_range(1..20);
        let from = vm(index_at(from));
        self.in_flight.insert((at, self.sent), (to, Event::Received { from, message }));
    }

    fn exchange(&mut self, from: SocketAddr, to: SocketAddr, table: Message) {
        let answer = self.nodes.get(&to).map(|state| state.table(Millis(self.now)));
        self.send(from, to, table);
        if let Some(answer) = answer {
            self.send(to, from, Message::Table(answer));
        }
    }

    fn kill(&mut self, index: usize) {
        self.nodes.remove(&address(index));
    }

    /// The distinct sets of live nodes among the views of the running nodes.
    fn views(&self) -> BTreeSet<Vec<Vm>> {
        self.nodes.values().map(|state| state.view().nodes.into_keys().collect()).collect()
    }

    fn assert_all_see(&self, running: &[usize]) {
        let mut expected: Vec<Vm> = running.iter().map(|index| vm(*index)).collect();
        expected.sort();
        assert_eq!(self.views(), BTreeSet::from([expected]));
    }

    fn all_mark_leaving(&self, upstream: &str) -> bool {
        let upstream = Upstream::from(upstream);
        self.nodes.values().all(|state| state.view().upstreams[&upstream].leaving)
    }
}

#[test]
fn nodes_that_start_together_see_each_other_within_a_second() {
    let mut network = Network::started(12, 9, 0.0);
    network.run(1_000);
    network.assert_all_see(&(0..12).collect::<Vec<_>>());
}

#[test]
fn only_the_dead_node_is_removed_everywhere() {
    let mut network = Network::converged(12, 1, 0.02);
    network.assert_all_see(&(0..12).collect::<Vec<_>>());
    network.kill(5);
    network.run(9_000);
    network.assert_all_see(&[0, 1, 2, 3, 4, 6, 7, 8, 9, 10, 11]);
    assert_eq!(network.wrongly_removed, BTreeSet::new());
}

#[test]
fn a_restarted_node_rejoins_with_its_new_incarnation() {
    let mut network = Network::converged(12, 2, 0.0);
    network.kill(3);
    network.run(10_000);
    network.nodes.insert(address(3), node(3, 2));
    let listed: Vec<Listed> = (0..12).map(entry).collect();
    network.list_everywhere(&listed);
    network.run(3_000);
    network.assert_all_see(&(0..12).collect::<Vec<_>>());
    let incarnations: BTreeSet<Incarnation> =
        network.nodes.values().map(|state| state.view().nodes[&vm(3)].incarnation).collect();
    assert_eq!(incarnations, BTreeSet::from([Incarnation(2)]));
}

#[test]
fn a_partition_between_two_data_centres_removes_no_node_that_others_reach() {
    let mut network = Network::converged(12, 3, 0.01);
    network.partitioned.insert((0, 1));
    network.run(30_000);
    assert_eq!(network.wrongly_removed, BTreeSet::new());
}

#[test]
fn an_isolated_data_centre_rejoins_without_further_removals() {
    for partition_s in [4, 5, 6, 7, 8, 15] {
        let mut network = Network::converged(12, partition_s, 0.0);
        network.partitioned.extend([(0, 1), (0, 2), (0, 3)]);
        network.run(partition_s * 1_000);
        network.partitioned.clear();
        network.run(REFUTATION_MS);
        let in_first_centre = |index: usize| data_centre(index) == 0;
        let same_side = network
            .wrongly_removed
            .iter()
            .any(|(by, vm)| in_first_centre(*by) == in_first_centre(*vm));
        assert!(!same_side, "partition of {partition_s} s: {:?}", network.wrongly_removed);
        network.wrongly_removed.clear();
        network.run(20_000);
        network.assert_all_see(&(0..12).collect::<Vec<_>>());
        assert_eq!(network.wrongly_removed, BTreeSet::new(), "partition of {partition_s} s");
    }
}

#[test]
fn wrong_entries_in_the_vm_list_neither_remove_nor_add_nodes() {
    let mut network = Network::converged(12, 5, 0.0);
    let wrong_list: Vec<Listed> = (6..20).map(entry).collect();
    network.list_everywhere(&wrong_list);
    network.run(20_000);
    network.assert_all_see(&(0..12).collect::<Vec<_>>());
    assert_eq!(network.wrongly_removed, BTreeSet::new());
}

#[test]
fn a_leaving_upstream_is_known_everywhere_within_three_seconds() {
    for (seed, source) in [(6, "engine"), (7, "list")] {
        let mut network = Network::converged(50, seed, 0.05);
        assert!(!network.all_mark_leaving("engine-0"));
        let event = match source {
            "engine" => Event::UpstreamLeaving(Upstream::from("engine-0")),
            _ => Event::Listed((0..50).map(entry).chain([engine(Phase::Leaving)]).collect()),
        };
        network.apply(address(7), event);
        network.run(3_000);
        assert!(network.all_mark_leaving("engine-0"), "marked by the {source}");
    }
}

#[test]
fn a_draining_node_is_marked_and_a_stopping_node_removed_within_a_second() {
    let mut network = Network::converged(24, 8, 0.0);
    network.apply(address(2), Event::Drain);
    network.run(1_000);
    assert!(network.nodes.values().all(|state| state.view().nodes[&vm(2)].leaving));
    network.apply(address(2), Event::Stop);
    network.kill(2);
    network.run(1_000);
    assert!(network.nodes.values().all(|state| !state.view().nodes.contains_key(&vm(2))));
}

#[test]
fn neighbours_reach_every_node_in_few_hops() {
    let nodes: Vec<Vm> = (0..350).map(vm).collect();
    let mut reached = BTreeSet::from([vm(0)]);
    let mut hops = 0;
    while reached.len() < nodes.len() {
        reached =
            reached.iter().flat_map(|vm| neighbours(vm, &nodes)).chain(reached.clone()).collect();
        hops += 1;
    }
    assert_eq!((hops, neighbours(&vm(0), &nodes).len()), (7, 9));
}

proptest! {
    #![proptest_config(Config {
        cases: 24,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn loss_and_deaths_never_remove_a_running_node(
        seed in any::<u64>(),
        loss in 0.0..0.1,
        killed in proptest::collection::btree_set(1usize..16, 0..4),
    ) {
        let mut network = Network::converged(16, seed, loss);
        for index in &killed {
            network.kill(*index);
            network.run(700);
        }
        network.run(15_000);
        let running: Vec<usize> = (0..16).filter(|index| !killed.contains(index)).collect();
        network.assert_all_see(&running);
        prop_assert_eq!(&network.wrongly_removed, &BTreeSet::new());
    }
}
