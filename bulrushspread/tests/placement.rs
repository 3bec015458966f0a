//! Claims and orders: engines that ignore fencing numbers never see an older holder's order after
//! a newer one's, and what is loaded becomes what is declared.

use std::collections::{BTreeMap, BTreeSet};

use bulrushspread::{
    id::{Deployment, Incarnation, Offset, Upstream, Vm},
    placement::{
        Record, Settings, State,
        record::Owner,
        state::{Action, Event, Wanted},
    },
    time::Millis,
    upstream::Order,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const NODES: usize = 3;

fn wanted(models: &[&str], checks_fence: bool) -> BTreeMap<Deployment, Wanted> {
    let models = models.iter().map(|model| model.to_string()).collect();
    let upstreams = BTreeSet::from([Upstream::from("engine-0")]);
    BTreeMap::from([(Deployment::from("svetovalec"), Wanted { models, upstreams, checks_fence })])
}

fn node(index: usize) -> State {
    let owner = Owner { vm: Vm(format!("entry-{index}")), incarnation: Incarnation(1) };
    State::new(owner, Settings::default())
}

/// Nodes with clocks of their own before one engine and one stream.
struct World {
    now: u64,
    nodes: Vec<State>,
    /// Entries that each node has read.
    read: Vec<usize>,
    stream: Vec<Record>,
    /// Appends under way.
    under_way: Vec<Record>,
    loaded: BTreeSet<String>,
    highest_fence: Offset,
    orders: Vec<Order>,
}

impl World {
    fn new() -> World {
        World {
            now: 0,
            nodes: (0..NODES).map(node).collect(),
            read: vec![0; NODES],
            stream: Vec::new(),
            under_way: Vec::new(),
            loaded: BTreeSet::from(["old".to_string()]),
            highest_fence: Offset(0),
            orders: Vec::new(),
        }
    }

    fn feed(&mut self, index: usize, event: Event) {
        let clock = Millis(self.now + 7_000 * index as u64);
        for action in self.nodes[index].apply(clock, event) {
            match action {
                Action::Append(record) => self.under_way.push(record),
                Action::Order { order, fence, .. } => self.obey(order, fence),
            }
        }
    }

    fn obey(&mut self, order: Order, fence: Offset) {
        assert!(fence >= self.highest_fence, "an order of a former holder after a newer one");
        self.highest_fence = fence;
        match &order {
            Order::Load { model } => drop(self.loaded.insert(model.clone())),
            Order::Unload { model } => drop(self.loaded.remove(model)),
            Order::Role { .. } => {}
        }
        self.orders.push(order);
    }

    fn land(&mut self, choice: usize) {
        if !self.under_way.is_empty() {
            let record = self.under_way.remove(choice % self.under_way.len());
            self.stream.push(record);
        }
    }

    fn catch_up(&mut self, index: usize, entries: usize) {
        let end = (self.read[index] + entries).min(self.stream.len());
        for place in self.read[index]..end {
            let (offset, record) = (Offset(place as u64), self.stream[place].clone());
            self.feed(index, Event::Read { offset, record });
        }
        self.read[index] = end;
    }

    fn report(&mut self, index: usize, active: u32) {
        let (upstream, loaded) = (Upstream::from("engine-0"), self.loaded.clone());
        self.feed(index, Event::Reported { upstream, loaded, active });
    }

    /// Lets time pass without any fault.
    fn run(&mut self, millis: u64, active: u32) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 100;
            for index in 0..NODES {
                self.land(0);
                self.catch_up(index, 1_000);
                self.report(index, active);
                self.feed(index, Event::Tick);
            }
        }
    }
}

/// A step of one node, or of the log.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Tick(usize),
    Land(usize),
    Lose(usize),
    Read(usize, usize),
    Report(usize),
    Choose(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        3 => (1u64..6_000).prop_map(Step::Wait),
        4 => node.clone().prop_map(Step::Tick),
        3 => (0usize..4).prop_map(Step::Land),
        1 => (0usize..4).prop_map(Step::Lose),
        3 => (node.clone(), 1usize..4).prop_map(|(node, entries)| Step::Read(node, entries)),
        3 => node.clone().prop_map(Step::Report),
        1 => (node, any::<bool>()).prop_map(|(node, chosen)| Step::Choose(node, chosen)),
    ]
}

#[test]
fn loads_before_unloads_and_unloads_only_what_has_drained() {
    let mut world = World::new();
    world.feed(0, Event::Wanted(wanted(&["a", "b"], false)));
    world.run(20_000, 1);
    let load = |model: &str| Order::Load { model: model.to_string() };
    assert_eq!(world.orders, [load("a"), load("b")]);
    world.run(30_000, 1);
    assert_eq!(world.orders.len(), 2, "the engine still runs requests");
    world.run(1_000, 0);
    assert_eq!(world.orders[2..], [Order::Unload { model: "old".to_string() }]);
}

#[test]
fn a_successor_waits_for_the_lease_only_before_engines_that_ignore_fencing() {
    for (checks_fence, orders) in [(true, 1), (false, 0)] {
        let mut world = World::new();
        world.feed(0, Event::Wanted(wanted(&["old"], checks_fence)));
        world.run(1_000, 1);
        world.feed(0, Event::Wanted(BTreeMap::new()));
        world.feed(1, Event::Wanted(wanted(&["old", "new"], checks_fence)));
        world.run(5_000, 1);
        assert_eq!(world.orders.len(), orders, "checks_fence {checks_fence}");
        world.run(10_000, 1);
        assert_eq!(world.orders.len(), 1);
    }
}

#[test]
fn a_holder_that_reads_its_claim_late_counts_from_before_its_append() {
    let mut world = contend(&[
        Step::Tick(0),
        Step::Land(0),
        Step::Read(1, 1),
        Step::Tick(1),
        Step::Land(0),
        Step::Read(1, 1),
        Step::Wait(6_000),
        Step::Tick(1),
        Step::Land(0),
        Step::Read(1, 1),
        Step::Read(0, 1),
        Step::Wait(6_500),
        Step::Report(1),
        Step::Tick(1),
    ]);
    let orders = [Order::Load { model: "b".to_string() }];
    assert_eq!(world.orders, orders);
    world.report(0, 0);
    world.feed(0, Event::Tick);
    assert_eq!(world.orders, orders);
}

#[test]
fn a_wrong_state_is_corrected_from_what_the_engine_reports() {
    let mut world = World::new();
    world.feed(0, Event::Wanted(wanted(&["old"], false)));
    world.run(5_000, 0);
    world.loaded = BTreeSet::from(["stray".to_string()]);
    world.run(60_000, 0);
    assert_eq!(world.loaded, BTreeSet::from(["old".to_string()]));
}

fn config(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}

/// All nodes want to hold the deployment, each with a model of its own; then `steps` happen.
fn contend(steps: &[Step]) -> World {
    let mut world = World::new();
    let choose = |node: usize| Event::Wanted(wanted(&[["a"], ["b"], ["c"]][node], false));
    (0..NODES).for_each(|node| world.feed(node, choose(node)));
    for step in steps {
        match *step {
            Step::Wait(millis) => world.now += millis,
            Step::Tick(node) => world.feed(node, Event::Tick),
            Step::Land(choice) => world.land(choice),
            Step::Lose(choice) if choice < world.under_way.len() => {
                world.under_way.remove(choice);
            }
            Step::Lose(_) => {}
            Step::Read(node, entries) => world.catch_up(node, entries),
            Step::Report(node) => world.report(node, 0),
            Step::Choose(node, true) => world.feed(node, choose(node)),
            Step::Choose(node, false) => world.feed(node, Event::Wanted(BTreeMap::new())),
        }
    }
    world
}

proptest! {
    #![proptest_config(config(1_024))]

    #[test]
    fn orders_never_come_from_a_former_holder(
        steps in proptest::collection::vec(step(), 50..300),
    ) {
        contend(&steps);
    }
}

proptest! {
    #![proptest_config(config(64))]

    #[test]
    fn the_last_wish_is_carried_out_whatever_came_before(
        steps in proptest::collection::vec(step(), 1..200),
    ) {
        let mut world = contend(&steps);
        for index in 0..NODES {
            world.feed(index, Event::Wanted(BTreeMap::new()));
        }
        world.feed(2, Event::Wanted(wanted(&["final"], false)));
        world.run(150_000, 0);
        prop_assert_eq!(&world.loaded, &BTreeSet::from(["final".to_string()]));
    }
}
