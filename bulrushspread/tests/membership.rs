//! Failure detection and the spread of news among a few dozen states, without processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use bulrushspread::{
    id::{DataCentre, Incarnation, Upstream, Vm},
    membership::{
        Settings, State,
        links::links,
        message::{Message, Version},
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
/// Time after a cut in which suspicions of that time may still end in a removal.
const REFUTED_MS: u64 = 1_500;
const DATA_CENTRES: [&str; 4] = ["ljubljana-a", "celje-b", "kranj-c", "novo-mesto-d"];

/// States joined by links that delay and lose messages.
struct Net {
    now: u64,
    rng: SmallRng,
    nodes: BTreeMap<SocketAddr, State>,
    due: BTreeMap<(u64, u64), (SocketAddr, Event)>,
    sent: u64,
    loss: f64,
    /// Pairs of data centres whose links are cut.
    cut: BTreeSet<(usize, usize)>,
    /// The nodes that each node has shown last.
    shown: BTreeMap<SocketAddr, BTreeSet<Vm>>,
    /// Who has removed whom, although both run.
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
    let centre = DataCentre::from(DATA_CENTRES[data_centre(index)]);
    let version = Version { incarnation: Incarnation(incarnation), refutation: 0 };
    State::new(vm(index), address(index), centre, version, Settings::default(), index as u64)
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

impl Net {
    /// Nodes some time after their start.
    fn settled(nodes: usize, seed: u64, loss: f64) -> Net {
        let mut net = Net::started(nodes, seed, loss);
        net.run(15_000);
        net.wrongly_removed.clear();
        net
    }

    /// Nodes that all know the list and nothing else.
    fn started(nodes: usize, seed: u64, loss: f64) -> Net {
        let mut net = Net {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            nodes: (0..nodes).map(|index| (address(index), node(index, 1))).collect(),
            due: BTreeMap::new(),
            sent: 0,
            loss,
            cut: BTreeSet::new(),
            shown: BTreeMap::new(),
            wrongly_removed: BTreeSet::new(),
        };
        let mut listed: Vec<Listed> = (0..nodes).map(entry).collect();
        listed.push(engine(Phase::Live));
        net.list_everywhere(&listed);
        net
    }

    fn list_everywhere(&mut self, listed: &[Listed]) {
        for to in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.feed(to, Event::Listed(listed.to_vec()));
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            for to in self.nodes.keys().copied().collect::<Vec<_>>() {
                self.feed(to, Event::Tick);
            }
            self.now += TICK;
            while let Some(due) = self.due.first_entry().filter(|due| due.key().0 <= self.now) {
                let (to, event) = due.remove();
                self.feed(to, event);
            }
        }
    }

    fn feed(&mut self, to: SocketAddr, event: Event) {
        let Some(state) = self.nodes.get_mut(&to) else { return };
        let actions = state.apply(Millis(self.now), event);
        let from = to;
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(from, to, message),
                Action::Exchange { to, table } => self.exchange(from, to, Message::Table(table)),
                Action::Show(view) => {
                    let shown: BTreeSet<Vm> = view.nodes.into_keys().collect();
                    let before = self.shown.insert(from, shown.clone()).unwrap_or_default();
                    let running = self.nodes.keys().copied().map(index_at);
                    let removed =
                        running.filter(|it| before.contains(&vm(*it)) && !shown.contains(&vm(*it)));
                    self.wrongly_removed.extend(removed.map(|it| (index_at(from), it)));
                }
                Action::Heard { .. } => {}
            }
        }
    }

    fn connected(&mut self, from: SocketAddr, to: SocketAddr) -> bool {
        let place = |at: SocketAddr| data_centre(index_at(at));
        let (a, b) = (place(from).min(place(to)), place(from).max(place(to)));
        !self.cut.contains(&(a, b)) && !self.rng.random_bool(self.loss)
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        if !self.connected(from, to) {
            return;
        }
        self.sent += 1;
        let at = self.now + self.rng.random_range(1..20);
        let from = vm(index_at(from));
        self.due.insert((at, self.sent), (to, Event::Received { from, message }));
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

    /// The nodes that each running node sees.
    fn views(&self) -> BTreeSet<Vec<Vm>> {
        self.nodes.values().map(|state| state.view().nodes.into_keys().collect()).collect()
    }

    fn expect_all_see(&self, running: &[usize]) {
        let mut expected: Vec<Vm> = running.iter().map(|index| vm(*index)).collect();
        expected.sort();
        assert_eq!(self.views(), BTreeSet::from([expected]));
    }

    fn all_leave_out(&self, upstream: &str) -> bool {
        let upstream = Upstream::from(upstream);
        self.nodes.values().all(|state| state.view().upstreams[&upstream].leaving)
    }
}

#[test]
fn nodes_that_start_together_see_each_other_within_a_second() {
    let mut net = Net::started(12, 9, 0.0);
    net.run(1_000);
    net.expect_all_see(&(0..12).collect::<Vec<_>>());
}

#[test]
fn a_dead_node_is_removed_everywhere_and_nobody_else() {
    let mut net = Net::settled(12, 1, 0.02);
    net.expect_all_see(&(0..12).collect::<Vec<_>>());
    net.kill(5);
    net.run(9_000);
    net.expect_all_see(&[0, 1, 2, 3, 4, 6, 7, 8, 9, 10, 11]);
    assert_eq!(net.wrongly_removed, BTreeSet::new());
}

#[test]
fn a_restarted_node_is_a_new_one_and_comes_back() {
    let mut net = Net::settled(12, 2, 0.0);
    net.kill(3);
    net.run(10_000);
    net.nodes.insert(address(3), node(3, 2));
    let listed: Vec<Listed> = (0..12).map(entry).collect();
    net.list_everywhere(&listed);
    net.run(3_000);
    net.expect_all_see(&(0..12).collect::<Vec<_>>());
    let incarnations: BTreeSet<Incarnation> =
        net.nodes.values().map(|state| state.view().nodes[&vm(3)].incarnation).collect();
    assert_eq!(incarnations, BTreeSet::from([Incarnation(2)]));
}

#[test]
fn a_cut_between_two_data_centres_removes_nobody_while_others_see_both() {
    let mut net = Net::settled(12, 3, 0.01);
    net.cut.insert((0, 1));
    net.run(30_000);
    assert_eq!(net.wrongly_removed, BTreeSet::new());
}

#[test]
fn a_data_centre_that_was_cut_off_comes_back_without_further_removals() {
    for cut_s in [4, 5, 6, 7, 8, 15] {
        let mut net = Net::settled(12, cut_s, 0.0);
        net.cut.extend([(0, 1), (0, 2), (0, 3)]);
        net.run(cut_s * 1_000);
        net.cut.clear();
        net.run(REFUTED_MS);
        let side = |index: usize| data_centre(index) == 0;
        let same_side = net.wrongly_removed.iter().any(|(by, vm)| side(*by) == side(*vm));
        assert!(!same_side, "cut for {cut_s} s: {:?}", net.wrongly_removed);
        net.wrongly_removed.clear();
        net.run(20_000);
        net.expect_all_see(&(0..12).collect::<Vec<_>>());
        assert_eq!(net.wrongly_removed, BTreeSet::new(), "cut for {cut_s} s");
    }
}

#[test]
fn wrong_entries_in_the_list_neither_remove_nor_add_nodes() {
    let mut net = Net::settled(12, 5, 0.0);
    let wrong: Vec<Listed> = (6..20).map(entry).collect();
    net.list_everywhere(&wrong);
    net.run(20_000);
    net.expect_all_see(&(0..12).collect::<Vec<_>>());
    assert_eq!(net.wrongly_removed, BTreeSet::new());
}

#[test]
fn a_leaving_upstream_is_known_everywhere_within_three_seconds() {
    for (seed, source) in [(6, "engine"), (7, "list")] {
        let mut net = Net::settled(50, seed, 0.05);
        assert!(!net.all_leave_out("engine-0"));
        let event = match source {
            "engine" => Event::Leaving(Upstream::from("engine-0")),
            _ => Event::Listed((0..50).map(entry).chain([engine(Phase::Leaving)]).collect()),
        };
        net.feed(address(7), event);
        net.run(3_000);
        assert!(net.all_leave_out("engine-0"), "marked by the {source}");
    }
}

#[test]
fn a_node_that_leaves_is_marked_at_once_and_gone_at_its_own_word() {
    let mut net = Net::settled(24, 8, 0.0);
    net.feed(address(2), Event::Leave);
    net.run(1_000);
    assert!(net.nodes.values().all(|state| state.view().nodes[&vm(2)].leaving));
    net.feed(address(2), Event::Gone);
    net.kill(2);
    net.run(1_000);
    assert!(net.nodes.values().all(|state| !state.view().nodes.contains_key(&vm(2))));
}

#[test]
fn links_reach_every_node_in_few_steps() {
    let nodes: Vec<Vm> = (0..350).map(vm).collect();
    let mut reached = BTreeSet::from([vm(0)]);
    let mut steps = 0;
    while reached.len() < nodes.len() {
        reached = reached.iter().flat_map(|vm| links(vm, &nodes)).chain(reached.clone()).collect();
        steps += 1;
    }
    assert_eq!((steps, links(&vm(0), &nodes).len()), (7, 9));
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
        let mut net = Net::settled(16, seed, loss);
        for index in &killed {
            net.kill(*index);
            net.run(700);
        }
        net.run(15_000);
        let running: Vec<usize> = (0..16).filter(|index| !killed.contains(index)).collect();
        net.expect_all_see(&running);
        prop_assert_eq!(&net.wrongly_removed, &BTreeSet::new());
    }
}
