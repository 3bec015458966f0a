//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::time::Duration;

use bulrushspread::{
    config::{Piece, document::ServiceSpec},
    id::{Service, Team},
};
use http::StatusCode;
use serde_json::json;
use standins::{
    fleet::{Fleet, Plan, Program, Result},
    wait::wait_until,
};

const IN_FORCE_BOUND: Duration = Duration::from_secs(4);

fn plan() -> Plan {
    Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")))
}

/// A piece whose one service has this time-out.
fn piece(timeout_ms: u64) -> Piece {
    let spec = ServiceSpec { idempotent_methods: Vec::new(), timeout_ms, slots: 1 };
    let mut piece = Piece::default();
    piece.services.insert(Service::from("roster-api"), spec);
    piece
}

/// The time-out that a node has in force.
async fn timeout_at(fleet: &Fleet, node: usize) -> Option<u64> {
    let document = fleet.nodes[node].document(&fleet.client).await.ok()?;
    let piece = &document["document"]["pieces"]["roster"];
    piece["services"]["roster-api"]["timeout_ms"].as_u64()
}

/// Waits until a node has a time-out in force. Until then it must not go below `floor`.
async fn wait_in_force(fleet: &Fleet, node: usize, timeout_ms: u64, floor: u64) -> Result<()> {
    wait_until(&format!("{timeout_ms} in force at node {node}"), IN_FORCE_BOUND, || async {
        let seen = timeout_at(fleet, node).await;
        assert!(seen.unwrap_or_default() >= floor, "node {node} went back to {seen:?}");
        (seen == Some(timeout_ms)).then_some(())
    })
    .await
}

#[tokio::test]
async fn published_piece_is_in_force_everywhere_and_never_reverts() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let team = Team::from("roster");
        let mut floor = 0;
        for timeout_ms in 1_001..=1_005 {
            fleet.publish(timeout_ms as usize % 3, &team, &piece(timeout_ms)).await?;
            for node in 0..fleet.nodes.len() {
                wait_in_force(fleet, node, timeout_ms, floor).await?;
            }
            floor = timeout_ms;
        }
        fleet.nodes[1].process.kill().await?;
        fleet.nodes[1].restart().await?;
        wait_in_force(fleet, 1, 1_005, 0).await
    })
    .await
}

#[tokio::test]
async fn of_two_operators_at_once_one_wins_and_one_is_told() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let team = Team::from("roster");
        let bodies = [2_001, 2_002].map(|ms| json!({ "base": null, "piece": piece(ms) }));
        let (one, two) = tokio::join!(
            fleet.nodes[0].put_piece(&fleet.client, &team, &bodies[0]),
            fleet.nodes[1].put_piece(&fleet.client, &team, &bodies[1]),
        );
        let (one, two) = (one?.status, two?.status);
        let winner = match (one, two) {
            (StatusCode::OK, StatusCode::CONFLICT) => 2_001,
            (StatusCode::CONFLICT, StatusCode::OK) => 2_002,
            other => panic!("{other:?}"),
        };
        for node in 0..fleet.nodes.len() {
            wait_in_force(fleet, node, winner, 0).await?;
        }
        Ok(())
    })
    .await
}

#[tokio::test]
async fn new_node_takes_the_configuration_from_peers_while_the_log_is_down() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        fleet.publish(0, &Team::from("roster"), &piece(3_001)).await?;
        for node in 0..fleet.nodes.len() {
            wait_in_force(fleet, node, 3_001, 0).await?;
        }
        fleet.log.set(json!({ "outage": "refuse" })).await?;
        fleet.add_node().await?;
        wait_in_force(fleet, 3, 3_001, 0).await?;
        fleet.caller(3).chat("<id:new>", 4).await.map(drop)
    })
    .await
}
