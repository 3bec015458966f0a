//! Random steps of the nodes, the log and the runners of one partition.

use bulrushspread::batch::message::RunEnd;
use proptest::prelude::*;

/// The reply that an append meets.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AppendReply {
    Acknowledged,
    /// The record is appended, but no reply arrives.
    Lost,
    /// The record is not appended.
    Refused,
    /// No reply arrives, and the record is appended at a later [`Step::LandLateAppend`].
    Delayed,
}

#[derive(Clone, Debug)]
pub(crate) enum Step {
    Read {
        node: usize,
        records: usize,
    },
    Members {
        node: usize,
        chosen: usize,
        live: [bool; 3],
    },
    /// The node sees no other live node, and claims the partition.
    Takeover {
        node: usize,
    },
    Append {
        node: usize,
        reply: AppendReply,
    },
    Flush {
        node: usize,
        reply: AppendReply,
    },
    Pull {
        node: usize,
        runner: usize,
        reply: AppendReply,
    },
    HandOut {
        node: usize,
    },
    End {
        run: usize,
        node: usize,
        end: RunEnd,
    },
    LoseRunner {
        runner: usize,
    },
    Cancel {
        job: usize,
    },
    LandLateAppend,
    Wait(u64),
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    let reply = || {
        prop_oneof![
            5 => Just(AppendReply::Acknowledged),
            1 => Just(AppendReply::Lost),
            1 => Just(AppendReply::Refused),
            1 => Just(AppendReply::Delayed),
        ]
    };
    let reason = || "reason".to_string();
    let end = prop_oneof![
        4 => Just(RunEnd::Answered { status: 200, body: "{}".to_string() }),
        1 => Just(RunEnd::Answered { status: 400, body: "{}".to_string() }),
        1 => Just(RunEnd::Failed { reason: reason() }),
        1 => Just(RunEnd::Crashed { reason: reason() }),
        1 => Just(RunEnd::Unknown { reason: reason() }),
        1 => Just(RunEnd::Returned),
    ];
    let node = 0..3usize;
    prop_oneof![
        6 => (node.clone(), 1..6usize).prop_map(|(node, records)| Step::Read { node, records }),
        2 => (node.clone(), 0..3usize, any::<[bool; 3]>())
            .prop_map(|(node, chosen, live)| Step::Members { node, chosen, live }),
        2 => node.clone().prop_map(|node| Step::Takeover { node }),
        4 => (node.clone(), reply()).prop_map(|(node, reply)| Step::Append { node, reply }),
        3 => (node.clone(), reply()).prop_map(|(node, reply)| Step::Flush { node, reply }),
        4 => (node.clone(), 0..2usize, reply())
            .prop_map(|(node, runner, reply)| Step::Pull { node, runner, reply }),
        3 => node.clone().prop_map(|node| Step::HandOut { node }),
        5 => (0..8usize, node, end).prop_map(|(run, node, end)| Step::End { run, node, end }),
        1 => (0..2usize).prop_map(|runner| Step::LoseRunner { runner }),
        1 => (0..3usize).prop_map(|job| Step::Cancel { job }),
        1 => Just(Step::LandLateAppend),
        3 => (1..300u64).prop_map(Step::Wait),
    ]
}
