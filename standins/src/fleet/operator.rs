//! What an operator asks of a node.

use bulrushspread::id::Team;
use http::Method;
use serde_json::Value;

use crate::client::{Answer, Call, Client};

use super::{
    Node, Plan, Result,
    caller::Caller,
    plan::{CALLER_KEY, ENVIRONMENT, MODEL, OPERATOR_TOKEN},
};

impl Node {
    /// Sends a call to the operators' listener.
    pub async fn operate(&self, client: &Client, call: Call) -> Result<Answer> {
        client.send(self.ready.operator, call.bearer(OPERATOR_TOKEN)).await
    }

    /// Publishes a team's piece; `body` holds `base` and `piece`.
    pub async fn put_piece(&self, client: &Client, team: &Team, body: &Value) -> Result<Answer> {
        let path = format!("/v1/environments/{ENVIRONMENT}/pieces/{team}");
        self.operate(client, Call::new(Method::PUT, &path).json(body)).await
    }

    /// The environment document as this node has it.
    pub async fn document(&self, client: &Client) -> Result<Value> {
        let path = format!("/v1/environments/{ENVIRONMENT}");
        self.operate(client, Call::get(&path)).await?.success()?.json()
    }

    /// The number of nodes that this node knows, itself included.
    pub async fn members(&self, client: &Client) -> Result<usize> {
        let answer = self.operate(client, Call::get("/v1/members")).await?.success()?;
        Ok(answer.json::<Value>()?["members"].as_array().map_or(0, Vec::len))
    }

    /// Whether the node knows the plan's caller and model and can reach an upstream.
    pub(crate) async fn is_ready(&self, client: &Client, plan: &Plan) -> bool {
        let caller = Caller::new(client.clone(), self.ready.gateway, CALLER_KEY);
        if plan.engines > 0 {
            return caller.chat("<tokens:1>", 1).await.is_ok();
        }
        caller.models().await.is_ok_and(|models| models.iter().any(|model| model == MODEL))
    }
}
