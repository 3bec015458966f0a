//! What can happen to the nodes, the log and the runners of one partition.

use bulrushspread::batch::message::RunEnd;
use proptest::prelude::*;

/// What becomes of an append.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    Stands,
    LosesAnswer,
    Refused,
    ActsLate,
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
    /// The node alone believes that it should own the partition, and claims it.
    Takeover {
        node: usize,
    },
    Append {
        node: usize,
        fate: Fate,
    },
    Flush {
        node: usize,
        fate: Fate,
    },
    Pull {
        node: usize,
        runner: usize,
        fate: Fate,
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
    Land,
    Wait(u64),
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    let fate = || {
        prop_oneof![
            5 => Just(Fate::Stands),
            1 => Just(Fate::LosesAnswer),
            1 => Just(Fate::Refused),
            1 => Just(Fate::ActsLate),
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
        4 => (node.clone(), fate()).prop_map(|(node, fate)| Step::Append { node, fate }),
        3 => (node.clone(), fate()).prop_map(|(node, fate)| Step::Flush { node, fate }),
        4 => (node.clone(), 0..2usize, fate())
            .prop_map(|(node, runner, fate)| Step::Pull { node, runner, fate }),
        3 => node.clone().prop_map(|node| Step::HandOut { node }),
        5 => (0..8usize, node, end).prop_map(|(run, node, end)| Step::End { run, node, end }),
        1 => (0..2usize).prop_map(|runner| Step::LoseRunner { runner }),
        1 => (0..3usize).prop_map(|job| Step::Cancel { job }),
        1 => Just(Step::Land),
        3 => (1..300u64).prop_map(Step::Wait),
    ]
}
