//! Claims and orders: engines that ignore fencing tokens never get an order of a former owner after
//! one of its successor, and the loaded models converge to the declared ones.

use std::collections::{BTreeMap, BTreeSet};

use bulrushspread::{
    id::{Deployment, Incarnation, Offset, Upstream, Vm},
    placement::{
        Record, Settings, State,
        record::Owner,
        state::{Action, Event, Spec},
    },
    time::Millis,
    upstream::Order,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const NODES: usize = 3;

fn specs(models: &[&str], checks_fence: bool) -> BTreeMap<Deployment, Spec> {
    let models = models.iter().map(|model| model.to_string()).collect();
    let upstreams = BTreeSet::from([Upstream::from("engine-0")]);
    BTreeMap::from([(Deployment::from("svetovalec"), Spec { models, upstreams, checks_fence })])
}

fn node(index: usize) -> State {
    let owner = Owner { vm: Vm(format!("entry-{index}")), incarnation: Incarnation(1) };
    State::new(owner, Settings::default())
}

/// Nodes with different clocks that share one engine and one placement stream.
struct Simulation {
    now: u64,
    nodes: Vec<State>,
    /// Number of records that each node has read.
    read: Vec<usize>,
    stream: Vec<Record>,
    /// Appends that have not reached the stream.
    pending_appends: Vec<Record>,
    loaded: BTreeSet<String>,
    highest_fence: Offset,
    orders: Vec<Order>,
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            now: 0,
            nodes: (0..NODES).map(node).collect(),
            read: vec![0; NODES],
            stream: Vec::new(),
            pending_appends: Vec::new(),
            loaded: BTreeSet::from(["old".to_string()]),
            highest_fence: Offset(0),
            orders: Vec::new(),
        }
    }

    fn apply(&mut self, index: usize, event: Event) {
        let clock = Millis(self.now + 7_000 * index as u64);
        for action in self.nodes[index].apply(clock, event) {
            match action {
                Action::Append(record) => self.pending_appends.push(record),
                Action::Order { order, fence, .. } => self.handle_order(order, fence),
            }
        }
    }

    fn handle_order(&mut self, order: Order, fence: Offset) {
        assert!(fence >= self.highest_fence, "order of a former owner after one of its successor");
        self.highest_fence = fence;
        match &order {
            Order::Load { model } => drop(self.loaded.insert(model.clone())),
            Order::Unload { model } => drop(self.loaded.remove(model)),
            Order::Role { .. } => {}
        }
        self.orders.push(order);
    }

    fn complete_append(&mut self, choice: usize) {
        if !self.pending_appends.is_empty() {
            let record = self.pending_appends.remove(choice % self.pending_appends.len());
            self.stream.push(record);
        }
    }

    fn read_stream(&mut self, index: usize, entries: usize) {
        let end = (self.read[index] + entries).min(self.stream.len());
        for position in self.read[index]..end {
            let (offset, record) = (Offset(position as u64), self.stream[position].clone());
            self.apply(index, Event::Read { offset, record });
        }
        self.read[index] = end;
    }

    fn report(&mut self, index: usize, active: u32) {
        let (upstream, loaded) = (Upstream::from("engine-0"), self.loaded.clone());
        self.apply(index, Event::Reported { upstream, loaded, active });
    }

    /// Advances the time without faults.
    fn run(&mut self, millis: u64, active: u32) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 100;
            for index in 0..NODES {
                self.complete_append(0);
                self.read_stream(index, 1_000);
                self.report(index, active);
                self.apply(index, Event::Tick);
            }
        }
    }
}

/// A step of one node or of the log.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Tick(usize),
    CompleteAppend(usize),
    LoseAppend(usize),
    Read(usize, usize),
    Report(usize),
    Declare(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        3 => (1u64..6_000).prop_map(Step::Wait),
        4 => node.clone().prop_map(Step::Tick),
        3 => (0usize..4).prop_map(Step::CompleteAppend),
        1 => (0usize..4).prop_map(Step::LoseAppend),
        3 => (node.clone(), 1usize..4).prop_map(|(node, entries)| Step::Read(node, entries)),
        3 => node.clone().prop_map(Step::Report),
        1 => (node, any::<bool>()).prop_map(|(node, declared)| Step::Declare(node, declared)),
    ]
}

#[test]
fn unloads_wait_for_the_drain_time_and_an_idle_engine() {
    let mut simulation = Simulation::new();
    simulation.apply(0, Event::Specs(specs(&["a", "b"], false)));
    simulation.run(20_000, 1);
    let load = |model: &str| Order::Load { model: model.to_string() };
    assert_eq!(simulation.orders, [load("a"), load("b")]);
    simulation.run(30_000, 1);
    assert_eq!(simulation.orders.len(), 2, "no unload while the engine runs requests");
    simulation.run(1_000, 0);
    assert_eq!(simulation.orders[2..], [Order::Unload { model: "old".to_string() }]);
}

#[test]
fn a_new_owner_waits_for_the_lease_only_if_engines_ignore_fencing_tokens() {
    for (checks_fence, orders) in [(true, 1), (false, 0)] {
        let mut simulation = Simulation::new();
        simulation.apply(0, Event::Specs(specs(&["old"], checks_fence)));
        simulation.run(1_000, 1);
        simulation.apply(0, Event::Specs(BTreeMap::new()));
        simulation.apply(1, Event::Specs(specs(&["old", "new"], checks_fence)));
        simulation.run(5_000, 1);
        assert_eq!(simulation.orders.len(), orders, "checks_fence {checks_fence}");
        simulation.run(10_000, 1);
        assert_eq!(simulation.orders.len(), 1);
    }
}

#[test]
fn the_lease_counts_from_before_the_append_when_the_claim_is_read_late() {
    let mut simulation = contend(&[
        Step::Tick(0),
        Step::CompleteAppend(0),
        Step::Read(1, 1),
        Step::Tick(1),
        Step::CompleteAppend(0),
        Step::Read(1, 1),
        Step::Wait(6_000),
        Step::Tick(1),
        Step::CompleteAppend(0),
        Step::Read(1, 1),
        Step::Read(0, 1),
        Step::Wait(6_500),
        Step::Report(1),
        Step::Tick(1),
    ]);
    let orders = [Order::Load { model: "b".to_string() }];
    assert_eq!(simulation.orders, orders);
    simulation.report(0, 0);
    simulation.apply(0, Event::Tick);
    assert_eq!(simulation.orders, orders);
}

#[test]
fn wrong_loaded_models_are_corrected_from_engine_reports() {
    let mut simulation = Simulation::new();
    simulation.apply(0, Event::Specs(specs(&["old"], false)));
    simulation.run(5_000, 0);
    simulation.loaded = BTreeSet::from(["stray".to_string()]);
    simulation.run(60_000, 0);
    assert_eq!(simulation.loaded, BTreeSet::from(["old".to_string()]));
}

fn config(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}

/// All nodes claim the deployment, each with a different declared model; then `steps` happen.
fn contend(steps: &[Step]) -> Simulation {
    let mut simulation = Simulation::new();
    let declare = |node: usize| Event::Specs(specs(&[["a"], ["b"], ["c"]][node], false));
    (0..NODES).for_each(|node| simulation.apply(node, declare(node)));
    for step in steps {
        match *step {
            Step::Wait(millis) => simulation.now += millis,
            Step::Tick(node) => simulation.apply(node, Event::Tick),
            Step::CompleteAppend(choice) => simulation.complete_append(choice),
            Step::LoseAppend(choice) if choice < simulation.pending_appends.len() => {
                simulation.pending_appends.remove(choice);
            }
            Step::LoseAppend(_) => {}
            Step::Read(node, entries) => simulation.read_stream(node, entries),
            Step::Report(node) => simulation.report(node, 0),
            Step::Declare(node, true) => simulation.apply(node, declare(node)),
            Step::Declare(node, false) => simulation.apply(node, Event::Specs(BTreeMap::new())),
        }
    }
    simulation
}

proptest! {
    #![proptest_config(config(1_024))]

    #[test]
    fn orders_never_come_from_a_former_owner(
        steps in proptest::collection::vec(step(), 50..300),
    ) {
        contend(&steps);
    }
}

proptest! {
    #![proptest_config(config(64))]

    #[test]
    fn the_loaded_models_converge_to_the_last_declaration(
        steps in proptest::collection::vec(step(), 1..200),
    ) {
        let mut simulation = contend(&steps);
        for index in 0..NODES {
            simulation.apply(index, Event::Specs(BTreeMap::new()));
        }
        simulation.apply(2, Event::Specs(specs(&["final"], false)));
        simulation.run(150_000, 0);
        prop_assert_eq!(&simulation.loaded, &BTreeSet::from(["final".to_string()]));
    }
}
