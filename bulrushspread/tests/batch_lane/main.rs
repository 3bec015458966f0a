//! Property test of partition ownership: three nodes own one partition in turn, while the log loses
//! replies to appends and applies some of them late.
//!
//! Guards against lost or duplicate results, different counts on different owners, second runs of
//! non-idempotent items and runs that start after a cancel.

mod step;

use std::collections::{BTreeMap, BTreeSet};

use bulrushspread::{
    batch::{
        Settings,
        ledger::{JobSpec, ReportStatus, queue::Pool},
        message::{Capacity, Pull, RunEnd, RunOutcome, Ticket},
        owner::{Action, Event, State},
        partition,
        record::PartitionRecord as Record,
    },
    id::{Deployment, Incarnation, Item, Job, Model, Offset, Partition, Vm, Workspace},
    journal::record::{Position, Writer},
    time::Millis,
};
use proptest::{prelude::*, test_runner::RngSeed};

use step::{AppendEffect, Step, step};

const NODES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const JOBS: [(&str, u32, bool); 3] =
    [("route-notes", 6, true), ("offers", 4, false), ("z", 3, true)];

struct Node {
    state: State,
    /// Records read so far.
    read: usize,
    /// Claims and releases to append.
    appends: Vec<Record>,
    /// Runner and ticket of non-idempotent picks, with the index of their intent in the log.
    intents: Vec<(usize, Ticket, usize)>,
}

#[derive(Clone)]
struct Run {
    runner: usize,
    ticket: Ticket,
}

struct World {
    now: Millis,
    log: Vec<Record>,
    late_appends: Vec<Record>,
    nodes: Vec<Node>,
    runs: Vec<Run>,
    /// Number of runs of each item that may have reached an upstream.
    starts: BTreeMap<(Job, Item), u32>,
    cancelled: BTreeSet<Job>,
    finished: BTreeMap<Job, bulrushspread::batch::view::Counts>,
}

impl World {
    fn new() -> World {
        let settings = Settings {
            adopt_ms: 20,
            hold_grace_ms: 200,
            handover_ms: 200,
            takeover_ms: 50,
            renew_ms: 2_000,
            outage_grant_ms: 600,
            retry_delay_ms: 10,
            ..Settings::default()
        };
        let mut world = World {
            now: Millis(1),
            log: Vec::new(),
            late_appends: Vec::new(),
            nodes: Vec::new(),
            runs: Vec::new(),
            starts: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            finished: BTreeMap::new(),
        };
        for name in NODES {
            let me = Writer { vm: Vm::from(name), incarnation: Incarnation(1) };
            let state = State::new(me, Partition(0), settings.clone());
            world.nodes.push(Node { state, read: 0, appends: Vec::new(), intents: Vec::new() });
        }
        for node in 0..NODES.len() {
            for (job, total, idempotent) in JOBS {
                world.apply(node, Event::JobOpened(spec(job, total, idempotent)));
            }
        }
        world
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Read { node, records } => self.read(node, records),
            Step::Members { node, chosen, live } => self.members(node, chosen, live),
            Step::Takeover { node } => self.take_over(node),
            Step::Append { node, effect } => self.append_next(node, effect),
            Step::Flush { node, effect } => self.flush(node, effect),
            Step::Pull { node, runner, effect } => self.pull(node, runner, effect),
            Step::SendGrants { node } => self.send_grants(node),
            Step::End { run, node, end } => self.end_run(run, node, end),
            Step::LoseRunner { runner } => self.runs.retain(|run| run.runner != runner),
            Step::Cancel { job } => self.log.push(Record::Cancel { job: Job::from(JOBS[job].0) }),
            Step::ApplyLateAppend => self.apply_late_append(),
            Step::Wait(span) => self.wait(span),
        }
        self.record_cancelled();
    }

    fn apply(&mut self, node: usize, event: Event) {
        let actions = self.nodes[node].state.apply(self.now, event);
        self.execute(node, actions);
    }

    fn execute(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) => self.nodes[node].appends.push(record),
                Action::Stop { ticket, .. } => self.runs.retain(|run| run.ticket != ticket),
                Action::LookUpCustomId { job, item } => {
                    self.apply(node, Event::CustomIdFound(job, item, item.to_string()));
                }
                Action::Finish { job, counts, .. } => self.record_finished(job, counts),
            }
        }
    }

    fn record_finished(&mut self, job: Job, counts: bulrushspread::batch::view::Counts) {
        let earlier = self.finished.insert(job, counts).unwrap_or(counts);
        assert_eq!(earlier, counts, "all owners compute the same counts");
    }

    /// Appends a record to the log with the given effect. Returns its index if a reply arrives.
    fn append(&mut self, record: Record, effect: AppendEffect) -> Option<usize> {
        match effect {
            AppendEffect::Acknowledged | AppendEffect::Lost => self.log.push(record),
            AppendEffect::Refused => {}
            AppendEffect::Delayed => self.late_appends.push(record),
        }
        matches!(effect, AppendEffect::Acknowledged).then(|| self.log.len() - 1)
    }

    fn read(&mut self, node: usize, records: usize) {
        for _ in 0..records {
            let index = self.nodes[node].read;
            if index == self.log.len() {
                self.apply(node, Event::CaughtUp);
                self.apply(node, Event::CurrentAsOf(self.now));
                return;
            }
            let position = Position { offset: Offset(index as u64), index: 0 };
            self.nodes[node].read += 1;
            self.apply(node, Event::Record(position, self.log[index].clone()));
        }
    }

    fn members(&mut self, node: usize, chosen: usize, live: [bool; 3]) {
        let live = (0..3).filter(|other| live[*other] || *other == node);
        let live = live.map(|other| (Vm::from(NODES[other]), Incarnation(1))).collect();
        self.apply(node, Event::Members { chosen: Some(Vm::from(NODES[chosen])), live });
    }

    fn take_over(&mut self, node: usize) {
        let mut live = [false; 3];
        live[node] = true;
        self.read(node, 100);
        self.members(node, node, live);
        self.wait(60);
        self.append_next(node, AppendEffect::Acknowledged);
        self.read(node, 100);
        self.wait(30);
    }

    fn append_next(&mut self, node: usize, effect: AppendEffect) {
        if self.nodes[node].appends.is_empty() {
            return;
        }
        let record = self.nodes[node].appends.remove(0);
        if self.append(record, effect).is_none() {
            self.apply(node, Event::AppendFailed);
        }
    }

    fn flush(&mut self, node: usize, effect: AppendEffect) {
        for record in self.nodes[node].state.next_results(1_000) {
            self.append(record, effect);
        }
    }

    fn pull(&mut self, node: usize, runner: usize, effect: AppendEffect) {
        let held = self.runs.iter().filter(|run| run.runner == runner);
        let pull = Pull {
            partitions: vec![Partition(0)],
            capacity: vec![Capacity {
                deployment: Deployment::from("lm-pool"),
                models: vec![Model::from("m")],
                items: 3,
            }],
            holding: held.map(|run| run.ticket.clone()).collect(),
        };
        let runner_vm = Vm(format!("runner-{runner}"));
        let (picks, actions) = self.nodes[node].state.handle_pull(self.now, &runner_vm, &pull);
        self.execute(node, actions);
        for pick in picks {
            let ticket = pick.ticket;
            self.apply(
                node,
                Event::CustomIdFound(ticket.job.clone(), ticket.item, "id".to_string()),
            );
            if !pick.needs_intent {
                self.start(runner, ticket);
                continue;
            }
            let (epoch, job) = (ticket.epoch, ticket.job.clone());
            let intent = Record::Intent { epoch, job, items: vec![ticket.item] };
            match self.append(intent, effect) {
                Some(index) => self.nodes[node].intents.push((runner, ticket, index)),
                None => self.nodes[node].state.withdraw(&[ticket]),
            }
        }
    }

    fn send_grants(&mut self, node: usize) {
        let read = self.nodes[node].read;
        let (ready, waiting): (Vec<_>, Vec<_>) =
            self.nodes[node].intents.drain(..).partition(|(_, _, index)| *index < read);
        self.nodes[node].intents = waiting;
        for (runner, ticket, _) in ready {
            if self.nodes[node].state.may_start(&ticket) {
                self.start(runner, ticket);
            } else {
                self.nodes[node].state.withdraw(&[ticket]);
            }
        }
    }

    fn start(&mut self, runner: usize, ticket: Ticket) {
        assert!(!self.cancelled.contains(&ticket.job), "no item starts after a cancel");
        *self.starts.entry((ticket.job.clone(), ticket.item)).or_default() += 1;
        self.runs.push(Run { runner, ticket });
    }

    fn end_run(&mut self, run: usize, node: usize, end: RunEnd) {
        let Some(run) = self.runs.get(run).cloned() else { return };
        let outcome = RunOutcome { ticket: run.ticket.clone(), end: end.clone() };
        let handled = self.nodes[node].state.handle_outcome(self.now, &outcome);
        let Some((status, actions)) = handled else { return };
        self.runs.retain(|other| other.ticket != run.ticket);
        if end == RunEnd::Returned && status == ReportStatus::Accepted {
            let key = (run.ticket.job, run.ticket.item);
            self.starts.entry(key).and_modify(|starts| *starts -= 1);
        }
        self.execute(node, actions);
    }

    fn apply_late_append(&mut self) {
        if !self.late_appends.is_empty() {
            let record = self.late_appends.remove(0);
            self.log.push(record);
        }
    }

    fn wait(&mut self, span: u64) {
        self.now = self.now + Millis(span);
        for node in 0..NODES.len() {
            let actions = self.nodes[node].state.tick(self.now);
            self.execute(node, actions);
        }
    }

    fn record_cancelled(&mut self) {
        for (job, _, _) in JOBS {
            let job = Job::from(job);
            let now = self.now;
            if self.nodes.iter().any(|node| node.state.is_cancelled(now, &job)) {
                self.cancelled.insert(job);
            }
        }
    }

    /// Runs without faults, with the first node as the chosen owner, until all jobs have finished.
    fn run_to_completion(&mut self) {
        for node in 0..NODES.len() {
            self.members(node, 0, [true; 3]);
        }
        for _ in 0..400 {
            self.run(Step::ApplyLateAppend);
            for node in 0..NODES.len() {
                self.run(Step::Append { node, effect: AppendEffect::Acknowledged });
                self.read(node, 100);
                self.run(Step::Pull { node, runner: 0, effect: AppendEffect::Acknowledged });
                self.read(node, 100);
                self.run(Step::SendGrants { node });
                let answer = RunEnd::Answered { status: 200, body: "{}".to_string() };
                for run in (0..self.runs.len()).rev() {
                    self.run(Step::End { run, node, end: answer.clone() });
                }
                self.run(Step::Flush { node, effect: AppendEffect::Acknowledged });
                self.read(node, 100);
            }
            self.run(Step::Wait(500));
            if self.finished.len() == JOBS.len() {
                return;
            }
        }
    }
}

fn spec(job: &str, total: u32, idempotent: bool) -> JobSpec {
    JobSpec {
        job: Job::from(job),
        workspace: Workspace(format!("workspace-of-{job}")),
        weight: 1,
        pool: Pool::Model(Model::from("m")),
        due_at: Millis(0),
        total,
        idempotent,
    }
}

fn check(world: &World) {
    let mut replayed = partition::State::default();
    for (index, record) in world.log.iter().enumerate() {
        replayed.apply(Position { offset: Offset(index as u64), index: 0 }, record);
    }
    for (job, total, idempotent) in JOBS {
        let id = Job::from(job);
        let counts = world.finished.get(&id).copied();
        let progress = &replayed.jobs[&id];
        assert_eq!(counts, Some(progress.counts(total)), "{job} has finished");
        let counts = counts.unwrap_or_default();
        assert_eq!(counts.completed + counts.failed + counts.cancelled, u64::from(total));
        assert_eq!(results(world, &replayed, &id), u64::from(progress.ended.len()));
        if !progress.cancelled {
            assert_eq!(progress.ended.len(), total, "each item of {job} has a result");
        }
        let starts = |item| world.starts.get(&(id.clone(), Item(item))).copied().unwrap_or(0);
        if !idempotent {
            assert!((0..total).all(|item| starts(item) <= 1), "{job} runs items at most once");
        }
    }
}

/// The number of items whose results are in the appends that the job's index lists.
fn results(world: &World, replayed: &partition::State, job: &Job) -> u64 {
    let offsets = replayed.jobs[job].offsets.iter().map(|offset| &world.log[offset.0 as usize]);
    let items: BTreeSet<Item> = offsets
        .flat_map(|record| match record {
            Record::Results { results, .. } => results.iter().map(|result| result.item).collect(),
            _ => Vec::new(),
        })
        .collect();
    items.len() as u64
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_item_has_one_result_across_owner_changes(
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut world = World::new();
        world.members(0, 0, [true; 3]);
        for step in steps {
            world.run(step);
        }
        world.run_to_completion();
        check(&world);
    }
}
