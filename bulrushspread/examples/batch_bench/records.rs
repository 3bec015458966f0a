//! Records of a plausible shape.

use std::collections::BTreeMap;

use bulrushspread::{
    batch::{
        ledger::{JobSpec, queue::Pool},
        record::{FileCreated, JobCreated, JobFinished},
        view::Counts,
    },
    id::{File, Job, Model, Offset, Workspace},
    journal::record::Position,
    time::Millis,
};

const WORKSPACES: usize = 1_400;
/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// An id as long as those that nodes give out.
fn unique(number: usize) -> String {
    format!("{number:032x}")
}

fn workspace(number: usize) -> Workspace {
    Workspace(format!("workspace-{}", number % WORKSPACES))
}

pub(crate) fn position(offset: usize) -> Position {
    Position { offset: Offset(offset as u64), index: 0 }
}

pub(crate) fn file(number: usize) -> FileCreated {
    FileCreated {
        file: File(format!("file-{}", unique(number))),
        workspace: workspace(number),
        filename: "items.jsonl".to_string(),
        bytes: 20_000_000,
        items: 20_000,
        created_at: Millis(1_800_000_000_000),
        digest: "d".repeat(DIGEST_DIGITS),
        fault: None,
        url: Some("/v1/chat/completions".to_string()),
        model: Some(Model::from("svetovalec")),
        index: position(number),
    }
}

pub(crate) fn job(number: usize) -> JobCreated {
    JobCreated {
        job: Job(format!("batch-{}", unique(number))),
        workspace: workspace(number),
        key: Some(format!("evening-{}", unique(number))),
        digest: "d".repeat(DIGEST_DIGITS),
        file: File(format!("file-{}", unique(number))),
        items: 20_000,
        endpoint: "/v1/chat/completions".to_string(),
        model: Some(Model::from("svetovalec")),
        completion_window: "12h".to_string(),
        idempotent: true,
        metadata: BTreeMap::new(),
        created_at: Millis(1_800_000_000_000),
        due_at: Millis(1_800_043_200_000),
    }
}

pub(crate) fn finished(number: usize) -> JobFinished {
    let counts = Counts { total: 20_000, completed: 19_990, failed: 10, cancelled: 0 };
    JobFinished {
        job: Job(format!("batch-{}", unique(number))),
        counts,
        index: position(number),
        finished_at: Millis(1_800_040_000_000),
    }
}

pub(crate) fn spec(number: usize, total: u32) -> JobSpec {
    JobSpec {
        job: Job(format!("batch-{}", unique(number))),
        workspace: workspace(number),
        weight: 1,
        pool: Pool::Model(Model::from("svetovalec")),
        due_at: Millis(number as u64),
        total,
        idempotent: true,
    }
}
