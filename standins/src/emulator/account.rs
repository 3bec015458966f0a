//! What the requests and items of a day have earned.

use serving::balance::Pick;

use super::{Scenario, arrivals::Day, owner::Item, tally::Account};

/// What has become of a caller's request.
#[derive(Clone, Debug, Default)]
pub(super) struct Call {
    pub(super) pick: Option<(usize, Pick)>,
    pub(super) first: Option<u64>,
    pub(super) done: bool,
    pub(super) refused: bool,
    /// When the caller came back after a refusal.
    pub(super) returned: Option<u64>,
}

/// Requests that were refused, came back and were in time from then on earn half of the way between
/// the worth in time and that of a late answer.
pub(super) fn online(scenario: &Scenario, day: &Day, calls: &[Call]) -> Account {
    let online = &scenario.online;
    let mut account = Account::default();
    for (call, request) in calls.iter().zip(&day.requests) {
        account.count += 1;
        account.owed += online.worth;
        account.refused += u32::from(call.refused);
        let within = |from: u64| call.first.is_some_and(|at| at - from <= online.objective_ms);
        let is_half = call.returned.is_some_and(within) && !request.loses_packet;
        match (call.done, within(request.at)) {
            (true, true) if request.loses_packet => {
                account.lost_packet += 1;
                account.earned += online.worth_late;
            }
            (true, true) => {
                account.in_time += 1;
                account.earned += online.worth;
            }
            (true, false) => {
                account.late += 1;
                account.earned += match is_half {
                    true => (online.worth + online.worth_late) / 2.0,
                    false => online.worth_late,
                };
            }
            (false, _) => {}
        }
    }
    account
}

pub(super) fn batch<'a>(scenario: &Scenario, items: impl Iterator<Item = &'a Item>) -> Account {
    let batch = &scenario.batch;
    let mut account = Account::default();
    for item in items {
        account.count += 1;
        account.owed += batch.worth;
        match item.ended {
            Some(at) if at <= item.due => {
                account.in_time += 1;
                account.earned += batch.worth;
            }
            Some(_) => {
                account.late += 1;
                account.earned += batch.worth_late;
            }
            None => {}
        }
    }
    account
}
