//! A model of one engine: admits in order of arrival, makes one token of each request a step.

use std::collections::VecDeque;

use super::scenario;

/// Names a request at the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Work {
    Online(usize),
    Item(usize, usize),
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) work: Work,
    /// Tokens to read before the first one is made.
    pub(super) prompt: u32,
    pub(super) tokens_left: u32,
    pub(super) made: u32,
    started: f64,
}

impl Run {
    pub(super) fn new(work: Work, prompt: u32, tokens: u32) -> Run {
        Run { work, prompt, tokens_left: tokens, made: 0, started: 0.0 }
    }
}

/// What a step brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Event {
    First(Work),
    Done(Work),
}

#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    queue: VecDeque<Run>,
    running: Vec<Run>,
    /// When the step in progress ends.
    step_ends: f64,
}

impl Engine {
    pub(super) fn push(&mut self, run: Run) {
        self.queue.push_back(run);
    }

    /// Requests that run and those that wait.
    pub(super) fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }

    /// Ends a request whose caller doesn't want it any more. Returns the tokens that it made.
    pub(super) fn cancel(&mut self, work: Work) -> u32 {
        self.queue.retain(|run| run.work != work);
        let position = self.running.iter().position(|run| run.work == work);
        position.map_or(0, |position| self.running.remove(position).made)
    }

    /// The engine dies with all it holds.
    pub(super) fn crash(&mut self) -> Vec<Work> {
        let lost = self.running.drain(..).chain(self.queue.drain(..));
        lost.map(|run| run.work).collect()
    }

    /// Passes the time up to `now`; steps take `factor` times as long.
    pub(super) fn advance(
        &mut self,
        now: u64,
        model: &scenario::Engine,
        factor: f64,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        let now = now as f64;
        while self.step_ends <= now {
            let begins = self.step_ends.max(now - 1.0);
            self.finish_step(begins, model, &mut events);
            let prefill = self.admit(begins, model);
            if self.running.is_empty() {
                self.step_ends = now;
                break;
            }
            let step = model.step_ms + model.step_ms_per_request * self.running.len() as f64;
            self.step_ends = begins + factor * (step + prefill);
        }
        events
    }

    fn finish_step(&mut self, at: f64, model: &scenario::Engine, events: &mut Vec<Event>) {
        for run in &mut self.running {
            // The first token of a request takes longer than a step.
            if run.made == 0 && at - run.started < model.first_ms {
                continue;
            }
            run.made += 1;
            run.tokens_left -= 1;
            if run.made == 1 {
                events.push(Event::First(run.work));
            }
            if run.tokens_left == 0 {
                events.push(Event::Done(run.work));
            }
        }
        self.running.retain(|run| run.tokens_left > 0);
    }

    /// Fills the free slots. Returns the milliseconds that reading the prompts takes.
    fn admit(&mut self, at: f64, model: &scenario::Engine) -> f64 {
        let mut tokens = 0;
        while self.running.len() < model.slots {
            let Some(mut run) = self.queue.pop_front() else { break };
            run.started = at;
            tokens += run.prompt;
            self.running.push(run);
        }
        f64::from(tokens) / model.prefill_tokens_per_ms
    }
}
