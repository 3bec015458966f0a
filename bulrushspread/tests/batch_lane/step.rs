//! Random steps of the nodes, the log and the runners of one partition.

use bulrushspread::batch::message::RunEnd;
use proptest::prelude::*;

/// The effect of an append and whether a reply to it arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AppendEffect {
    Acknowledged,
    /// The record is appended, but no reply arrives.
    Lost,
    /// The record is not appended.
    Refused,
    /// No reply arrives, and the record is appended at a later [`Step::ApplyLateAppend`].
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
        effect: AppendEffect,
    },
    Flush {
        node: usize,
        effect: AppendEffect,
    },
    Pull {
        node: usize,
        runner: usize,
        effect: AppendEffect,
    },
    SendGrants {
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
    ApplyLateAppend,
    Wait(u64),
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    let effect = || {
        prop_oneof![
            5 => Just(AppendEffect::Acknowledged),
            1 => Just(AppendEffect::Lost),
            1 => Just(AppendEffect::Refused),
            1 => Just(AppendEffect::Delayed),
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
        4 => (node.clone(), effect()).prop_map(|(node, effect)| Step::Append { node, effect }),
        3 => (node.clone(), effect()).prop_map(|(node, effect)| Step::Flush { node, effect }),
        4 => (node.clone(), 0..2usize, effect())
            .prop_map(|(node, runner, effect)| Step::Pull { node, runner, effect }),
        3 => node.clone().prop_map(|node| Step::SendGrants { node }),
        5 => (0..8usize, node, end).prop_map(|(run, node, end)| Step::End { run, node, end }),
        1 => (0..2usize).prop_map(|runner| Step::LoseRunner { runner }),
        1 => (0..3usize).prop_map(|job| Step::Cancel { job }),
        1 => Just(Step::ApplyLateAppend),
        3 => (1..300u64).prop_map(Step::Wait),
    ]
}
