//! What was sent, answered and run, for `record.txt`.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}", self.ms());
        self.lines.lock().unwrap().push(line);
    }

    pub fn text(&self) -> String {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        text
    }
}
