//! All engines and nodes of a day, and the time that passes, a millisecond a step.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serving::{
    balance::{
        self, Class, Criteria, Loads, Outcome, Pick,
        pace::{self, Origin},
    },
    batch::{
        quota::{self, Report},
        schedule,
    },
    collector::{Collector, DataCentreDigest, Datagram, Member},
    fleet::Entry,
    id::{DataCentre, Incarnation, Service, Upstream, Vm},
    time::Millis,
};

use super::{
    Scenario, Tally,
    account::{self, Call},
    arrivals::{Day, Request},
    engine::{self, Engine, Run, Work},
    owner::Owner,
    tally::Traffic,
};

/// How long a node takes to see that an engine has died under a request.
const DEATH_SEEN_MS: u64 = 5;
/// How long nodes keep an idle connection: `idle_ms` less `idle_margin_ms` of `upstream::Settings`.
const IDLE_MS: u64 = 3_000;
/// The longest part of a caller's remaining time for which it stays away when it is asked to.
const RETURN_SHARE: u64 = 3;

/// Something on its way.
#[derive(Clone, Debug)]
enum Event {
    /// A caller's request reaches a node; the number of its tries before.
    Call(usize, usize),
    Arrive(usize, Run),
    Cancel(usize, Work),
    First(usize),
    /// The head of an answer.
    Head(Work, balance::Stated),
    Done(Work),
    Died(Work),
    News(usize, usize, Loads, Vec<(u16, Report)>),
    /// A datagram of the second node reaches the first one.
    Collect(usize, usize, Datagram, Vec<pace::Report>),
}

struct Node {
    balance: balance::State,
    quota: quota::State,
    reports: BTreeMap<u16, Report>,
    member: Member,
    collector: Collector,
}

pub(super) struct Fleet<'a> {
    scenario: &'a Scenario,
    day: Day,
    rng: SmallRng,
    service: Service,
    index: BTreeMap<Upstream, usize>,
    engines: Vec<Engine>,
    nodes: Vec<Node>,
    owners: Vec<Owner>,
    calls: Vec<Call>,
    events: BTreeMap<u64, Vec<Event>>,
    tally: Tally,
    now: u64,
    seed: u64,
    /// By node and engine: when each idle connection is closed.
    idle: BTreeMap<(usize, usize), Vec<u64>>,
}

impl<'a> Fleet<'a> {
    pub(super) fn new(scenario: &'a Scenario, day: Day, seed: u64) -> Fleet<'a> {
        let service = Service::from("model");
        let place = |index: usize| DataCentre(format!("dc-{}", index % scenario.data_centres));
        let entry = |index: usize| Entry {
            version: "v1".into(),
            service: service.clone(),
            address: ([10, 0, (index >> 8) as u8, index as u8], 80).into(),
            data_centre: place(index),
            slots: scenario.engine.slots as u32,
            draining: false,
            started: 1,
        };
        let count = scenario.replicas.len();
        let upstream = |index: usize| Upstream(format!("replica-{index:03}"));
        let entries: BTreeMap<Upstream, Entry> =
            (0..count).map(|index| (upstream(index), entry(index))).collect();
        let partitions = scenario.batching.partitions;
        let node = |index: usize| {
            let seed = seed ^ ((index as u64 + 1) << 32);
            let mut balance = balance::State::new(scenario.balance.clone(), place(index), seed);
            balance.replace(&entries);
            Node {
                balance,
                quota: quota::State::new(partitions),
                reports: BTreeMap::new(),
                member: Member::new(Incarnation(1)),
                collector: Collector::default(),
            }
        };
        let owner = |number: u16| Owner::new(number, usize::from(number) % scenario.nodes);
        let mut events: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
        for (index, request) in day.requests.iter().enumerate() {
            events.entry(request.at).or_default().push(Event::Call(index, 0));
        }
        Fleet {
            scenario,
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            index: (0..count).map(|index| (upstream(index), index)).collect(),
            engines: vec![Engine::default(); count],
            nodes: (0..scenario.nodes).map(node).collect(),
            owners: (0..partitions).map(owner).collect(),
            calls: vec![Call::default(); day.requests.len()],
            service,
            day,
            events,
            tally: Tally { sends: vec![0; count], ..Tally::default() },
            now: 0,
            seed,
            idle: BTreeMap::new(),
        }
    }

    pub(super) fn play(mut self) -> Tally {
        let mut next_job = 0;
        for now in 0..self.scenario.length_ms + self.scenario.tail_ms {
            while let Some(job) = self.day.jobs.get(next_job).filter(|job| job.at <= now) {
                let owner = next_job % self.owners.len();
                self.owners[owner].submit(job, self.scenario.batch.due_ms);
                next_job += 1;
            }
            self.now = now;
            for event in self.events.remove(&now).unwrap_or_default() {
                self.take(now, event);
            }
            self.run_engines(now);
            self.run_owners(now);
            self.send_news(now);
            self.send_loads(now);
        }
        self.tally.pairs = self.idle.len() as u64;
        let first_ms = |(call, request): (&Call, &Request)| Some((call.first? - request.at) as u32);
        self.tally.first_ms =
            self.calls.iter().zip(&self.day.requests).filter_map(first_ms).collect();
        self.tally.online = account::online(self.scenario, &self.day, &self.calls);
        let items = self.owners.iter().flat_map(|owner| &owner.items);
        self.tally.batch = account::batch(self.scenario, items);
        self.tally
    }

    /// Something happens at `at`, or in the next millisecond if that has begun.
    fn later(&mut self, at: u64, event: Event) {
        self.events.entry(at.max(self.now + 1)).or_default().push(event);
    }

    /// One way between a node and an engine.
    fn link(&self, node: usize, engine: usize) -> u64 {
        let places = self.scenario.data_centres;
        if node % places == engine % places { 0 } else { self.scenario.link_ms }
    }

    fn take(&mut self, now: u64, event: Event) {
        match event {
            Event::Call(index, tries) => self.call(now, index, tries),
            Event::Arrive(engine, run) => {
                if self.scenario.replicas[engine].factor(now).is_some() {
                    return self.engines[engine].push(run);
                }
                self.later(now + DEATH_SEEN_MS, Event::Died(run.work));
            }
            Event::Cancel(engine, work) => {
                let tokens = self.engines[engine].cancel(work);
                self.item_ran(now, work, tokens / self.scenario.engine.stride, Outcome::Neutral);
            }
            Event::First(index) => {
                self.calls[index].first.get_or_insert(now);
            }
            Event::Head(work, stated) => self.record_head(now, work, stated),
            Event::Done(work) => match work {
                Work::Online(index) => {
                    self.calls[index].done = true;
                    let events = u64::from(self.day.requests[index].events);
                    let pick = self.calls[index].pick.clone();
                    if let Some((node, pick)) = pick {
                        self.measure(node, &pick, events);
                    }
                    self.end_call(now, index, Outcome::Succeeded);
                }
                Work::Item(owner, item) => {
                    let item = &self.owners[owner].items[item];
                    let events = item.events - item.made;
                    self.item_ran(now, work, events, Outcome::Succeeded);
                }
            },
            Event::Died(work) => match work {
                Work::Online(index) => {
                    self.end_call(now, index, Outcome::Failed);
                    if self.calls[index].first.is_none() {
                        self.call(now, index, 1);
                    }
                }
                Work::Item(..) => self.item_ran(now, work, 0, Outcome::Failed),
            },
            Event::News(to, from, loads, reports) => {
                let node = &mut self.nodes[to];
                node.balance.update_loads(Millis(now), &Vm(format!("node-{from:03}")), loads);
                for (partition, report) in reports {
                    node.quota.apply_report(Millis(now), partition, report);
                }
            }
            Event::Collect(to, from, datagram, paces) => {
                self.collect(now, to, from, datagram, &paces);
            }
        }
    }

    fn call(&mut self, now: u64, index: usize, tries: usize) {
        let Request { at, nodes, events, .. } = self.day.requests[index].clone();
        let node = nodes[tries.min(1)];
        let away = self.scenario.nodes_away.iter().any(|outage| outage.holds(now));
        let objective = Millis(self.scenario.online.objective_ms);
        let excluded = BTreeSet::new();
        let class = Class::Online;
        let criteria = Criteria {
            service: &self.service,
            class,
            excluded: &excluded,
            version: None,
            objective,
        };
        let chosen = match away {
            true => Err(Millis(1_000)),
            false => {
                let chosen = self.nodes[node].balance.choose(Millis(now), criteria);
                chosen.map_err(balance::Refusal::retry_after)
            }
        };
        match chosen {
            Ok(pick) => {
                let engine = self.index[&pick.upstream];
                self.calls[index].pick = Some((node, pick));
                self.tally.sends[engine] += 1;
                self.connect(now, node, engine);
                let tokens = events * self.scenario.engine.stride;
                let run = Run::new(Work::Online(index), self.scenario.online.prompt_tokens, tokens);
                self.later(now + self.link(node, engine), Event::Arrive(engine, run));
            }
            Err(retry_after) => {
                let left = (at + self.scenario.online.patience_ms).saturating_sub(now);
                let back = now + retry_after.0.min(left / RETURN_SHARE).max(1);
                match tries {
                    0 => {
                        self.calls[index].returned = Some(back);
                        self.later(back, Event::Call(index, 1));
                    }
                    _ => self.calls[index].refused = true,
                }
            }
        }
    }

    fn end_call(&mut self, now: u64, index: usize, outcome: Outcome) {
        if let Some((node, pick)) = self.calls[index].pick.take() {
            self.disconnect(now, node, self.index[&pick.upstream], outcome);
            self.nodes[node].balance.finish(Millis(now), &pick, outcome);
        }
    }

    /// Takes an idle connection, the most recently used one first, or opens one.
    fn connect(&mut self, now: u64, node: usize, engine: usize) {
        let idle = self.idle.entry((node, engine)).or_default();
        idle.retain(|closes_at| *closes_at > now);
        if idle.pop().is_none() {
            self.tally.connections += 1;
        }
    }

    /// Keeps the connection of a complete answer; a request that was cancelled closes its own.
    fn disconnect(&mut self, now: u64, node: usize, engine: usize, outcome: Outcome) {
        if outcome == Outcome::Succeeded {
            self.idle.entry((node, engine)).or_default().push(now + IDLE_MS);
        }
    }

    fn record_head(&mut self, now: u64, work: Work, stated: balance::Stated) {
        let (node, pick) = match work {
            Work::Online(index) => match &self.calls[index].pick {
                Some((node, pick)) => (*node, pick),
                None => return,
            },
            Work::Item(owner, item) => match self.owners[owner].pick(item) {
                Some(pick) => (self.owners[owner].node, pick),
                None => return,
            },
        };
        self.nodes[node].balance.record_stated(Millis(now), pick, stated);
    }

    /// Counts the events that a node got from an engine, and tells the node the set-up time of the
    /// connection.
    fn measure(&mut self, node: usize, pick: &Pick, events: u64) {
        let link = self.link(node, self.index[&pick.upstream]);
        let remote = if link > 0 { events } else { 0 };
        match pick.class {
            Class::Online => self.tally.online_events += Traffic { all: events, remote },
            Class::Batch => self.tally.batch_events += Traffic { all: events, remote },
        }
        if self.scenario.measures_delays {
            self.nodes[node].balance.record_setup(&pick.upstream, 1.0 + 2.0 * link as f64);
        }
    }

    fn item_ran(&mut self, now: u64, work: Work, events: u32, outcome: Outcome) {
        let Work::Item(owner, item) = work else { return };
        let owner = &mut self.owners[owner];
        if let Some(pick) = owner.end_run(item, now, events) {
            let node = owner.node;
            self.disconnect(now, node, self.index[&pick.upstream], outcome);
            self.nodes[node].balance.finish(Millis(now), &pick, outcome);
            self.measure(node, &pick, u64::from(events));
        }
    }

    fn run_engines(&mut self, now: u64) {
        for engine in 0..self.engines.len() {
            let Some(factor) = self.scenario.replicas[engine].factor(now) else {
                for work in self.engines[engine].crash() {
                    self.later(now + DEATH_SEEN_MS, Event::Died(work));
                }
                continue;
            };
            let noise = self.scenario.noise.factor(self.seed, engine, now);
            for event in self.engines[engine].advance(now, &self.scenario.engine, factor * noise) {
                let (engine::Event::First(work) | engine::Event::Done(work)) = event;
                let node = match work {
                    Work::Online(index) => self.calls[index].pick.as_ref().map(|(node, _)| *node),
                    Work::Item(owner, _) => Some(self.owners[owner].node),
                };
                let at = now + 1 + node.map_or(0, |node| self.link(node, engine));
                if matches!(event, engine::Event::First(_)) && self.scenario.states_load {
                    let (running, waiting) = self.engines[engine].load();
                    let slots = self.scenario.engine.slots as u32;
                    let pace = Some((100.0 * noise).round() as u32);
                    let stated = balance::Stated { running, waiting, slots, pace };
                    self.later(at, Event::Head(work, stated));
                }
                match (event, work) {
                    (engine::Event::First(_), Work::Online(index)) => {
                        self.later(at, Event::First(index));
                    }
                    (engine::Event::First(_), Work::Item(..)) => {}
                    (engine::Event::Done(_), work) => self.later(at, Event::Done(work)),
                }
            }
        }
    }

    fn run_owners(&mut self, now: u64) {
        for owner in 0..self.owners.len() {
            // Owners don't look at the same time.
            if (now + 3 * owner as u64).is_multiple_of(self.scenario.batching.schedule_ms) {
                self.make_room(now, owner);
                self.schedule(now, owner);
            }
        }
    }

    fn make_room(&mut self, now: u64, owner: usize) {
        let node = self.owners[owner].node;
        let overfull = self.nodes[node].balance.excess_batch();
        for item in self.owners[owner].pause_excess(overfull) {
            let work = Work::Item(owner, item);
            let Some(engine) = self.owners[owner].upstream(work).map(|id| self.index[id]) else {
                continue;
            };
            self.tally.pauses += 1;
            self.later(now + 1 + self.link(node, engine), Event::Cancel(engine, work));
        }
    }

    fn schedule(&mut self, now: u64, owner: usize) {
        let node = self.owners[owner].node;
        let partition = self.owners[owner].partition;
        let mut waiting = self.owners[owner].waiting(now);
        let room = self.nodes[node].balance.free_batch_slots(Millis(now), &self.service);
        let quota = &self.nodes[node].quota;
        let ahead = |urgency| quota.count_ahead(partition, &self.service, urgency);
        let count = schedule::count_starts(&waiting, room, ahead);
        let mut started = 0;
        for entry in &waiting[..count] {
            let class = Class::Batch;
            let (excluded, objective) = (BTreeSet::new(), Millis(0));
            let criteria = Criteria {
                service: &self.service,
                class,
                excluded: &excluded,
                version: None,
                objective,
            };
            let Ok(pick) = self.nodes[node].balance.choose(Millis(now), criteria) else { break };
            let index = entry.item.index as usize;
            let engine = self.index[&pick.upstream];
            self.owners[owner].started(index, now, pick);
            self.connect(now, node, engine);
            let item = &self.owners[owner].items[index];
            let stride = self.scenario.engine.stride;
            let prompt = self.scenario.batch.prompt_tokens + item.made * stride;
            let tokens = (item.events - item.made) * stride;
            let run = Run::new(Work::Item(owner, index), prompt, tokens);
            self.later(now + self.link(node, engine), Event::Arrive(engine, run));
            started += 1;
        }
        waiting.drain(..started);
        let report = self.owners[owner].report(&self.service, &waiting);
        self.nodes[node].quota.apply_report(Millis(now), partition, report.clone());
        self.nodes[node].reports.insert(partition, report);
    }

    fn send_news(&mut self, now: u64) {
        let news = &self.scenario.news;
        let (interval, loss, fan_out) = (news.interval_ms, news.loss, news.fan_out);
        let count = self.nodes.len();
        for from in 0..count {
            if !(now + 5 * from as u64).is_multiple_of(interval) {
                continue;
            }
            let loads = self.nodes[from].balance.own_loads().clone();
            let reports: Vec<(u16, Report)> =
                self.nodes[from].reports.iter().map(|(n, report)| (*n, report.clone())).collect();
            let others = count - 1;
            let first = self.rng.random_range(0..others.max(1));
            for offset in 0..others.min(fan_out) {
                let to = (from + 1 + (first + offset) % others) % count;
                self.tally.messages += 1;
                if self.rng.random::<f64>() >= loss {
                    let at = now + 1 + self.link(from, to);
                    self.later(at, Event::News(to, from, loads.clone(), reports.clone()));
                }
            }
        }
    }

    fn data_centre(&self, node: usize) -> DataCentreDigest {
        DataCentreDigest::of(&DataCentre(format!("dc-{}", node % self.scenario.data_centres)))
    }

    /// The collectors of the data centre.
    fn collectors(&self, data_centre: usize) -> impl Iterator<Item = usize> + use<> {
        let (nodes, data_centres) = (self.scenario.nodes, self.scenario.data_centres);
        let collectors =
            (0..self.scenario.news.collectors).map(move |index| data_centre + index * data_centres);
        collectors.filter(move |node| *node < nodes)
    }

    /// Sends the loads of each node and what each collector knows, where they are due.
    fn send_loads(&mut self, now: u64) {
        let interval = self.scenario.news.collect_ms;
        let data_centres = self.scenario.data_centres;
        for from in 0..self.nodes.len() {
            if interval == 0 || !(now + 5 * from as u64).is_multiple_of(interval) {
                continue;
            }
            let own = from % data_centres;
            let node = &mut self.nodes[from];
            node.collector.expire(Millis(now));
            let loads = node.balance.own_loads().clone();
            let since = Millis(now.saturating_sub(interval));
            let paces = node.balance.pace_reports(Millis(now), since, Origin::Own);
            let report = match paces.is_empty() {
                true => node.member.report(Millis(now), &loads),
                false => Some(node.member.report_now(Millis(now), &loads)),
            };
            if let Some((version, loads)) = report {
                for to in self.collectors(own) {
                    let datagram = Datagram::Member { version, loads: loads.clone() };
                    self.send_datagram(now, to, from, datagram, paces.clone());
                }
            }
            if !self.nodes[from].collector.has_members() {
                continue;
            }
            let data_centre = self.data_centre(from);
            let version = self.nodes[from].member.next_version();
            let sum = self.nodes[from].collector.member_sum();
            // Collectors of the same rank exchange sums.
            for to in (0..data_centres).filter(|other| *other != own) {
                let paces = self.nodes[from].balance.pace_reports(Millis(now), since, Origin::Node);
                let Some(to) = self.collectors(to).nth(from / data_centres) else { continue };
                let datagram = Datagram::DataCentre { version, data_centre, sum: sum.clone() };
                self.send_datagram(now, to, from, datagram, paces);
            }
            let sum = self.nodes[from].collector.fleet_sum(data_centre);
            let members: Vec<_> = self.nodes[from].collector.members().collect();
            let paces = self.nodes[from].balance.pace_reports(Millis(now), since, Origin::Fleet);
            for (member, included) in members {
                let datagram = Datagram::Fleet { version, included, sum: sum.clone() };
                self.send_datagram(now, usize::from(member.port()), from, datagram, paces.clone());
            }
        }
    }

    fn send_datagram(
        &mut self,
        now: u64,
        to: usize,
        from: usize,
        datagram: Datagram,
        paces: Vec<pace::Report>,
    ) {
        if to != from {
            self.tally.messages += 1;
            if self.rng.random::<f64>() < self.scenario.news.loss {
                return;
            }
        }
        self.later(now + 1 + self.link(from, to), Event::Collect(to, from, datagram, paces));
    }

    fn collect(
        &mut self,
        now: u64,
        to: usize,
        from: usize,
        datagram: Datagram,
        paces: &[pace::Report],
    ) {
        let node = &mut self.nodes[to];
        let origin = datagram.pace_origin();
        node.balance.update_paces(Millis(now), origin, paces);
        let sender = ([10, 0, 0, 1], from as u16).into();
        match datagram {
            Datagram::Member { version, loads } => {
                node.collector.record_member(Millis(now), sender, version, loads);
            }
            Datagram::DataCentre { version, data_centre, sum } => {
                node.collector.record_data_centre(Millis(now), sender, version, data_centre, sum);
            }
            Datagram::Fleet { version, included, sum } => {
                let loads = node.member.apply(Millis(now), sender, version, included, sum);
                if let Some(loads) = loads {
                    node.balance.update_fleet_loads(Millis(now), loads);
                }
            }
        }
    }
}
