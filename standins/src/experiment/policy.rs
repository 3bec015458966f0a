//! The ways to share a fleet between online and batch work.

use bulrushspread::{
    config::document::DeploymentSpec,
    id::{Deployment, Model},
};
use serde_json::{Value, json};

use crate::fleet::{DEPLOYMENT, MODEL, Plan};

/// The deployment of replicas that are set aside for batch work.
pub(super) const RESERVED_DEPLOYMENT: &str = "svetovalec-batch";
/// The model of that deployment.
pub(super) const RESERVED_MODEL: &str = "svetovalec-batch";

/// Batch streams at once on a replica that has no online work.
const STREAMS: u32 = 16;

/// One way to share the fleet.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Policy {
    /// Online work without batch work.
    OnlineAlone,
    /// Batch work without online work, on all slots.
    BatchAlone,
    /// The system's own policy.
    Managed(Managed),
    /// A fixed split: some replicas run batch work only, the others none.
    Reserved { replicas: usize },
    /// Batch work is sent like online work and never yields.
    Unmanaged { streams: u32 },
}

/// The knobs of the system's own policy.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Managed {
    pub(super) margin: u32,
    pub(super) hold_ms: u64,
    pub(super) hold_limit_ms: u64,
    pub(super) streams: u32,
    pub(super) prefills: u32,
}

/// All policies with their settings, without the two references.
pub(super) fn all(replicas: usize) -> Vec<Policy> {
    let managed = |margin, hold_ms, hold_limit_ms| {
        Policy::Managed(Managed { margin, hold_ms, hold_limit_ms, streams: STREAMS, prefills: 1 })
    };
    let reserved = [1, 2, 3, replicas / 2];
    let mut policies = vec![managed(0, 100, 100), managed(1, 250, 1_000), managed(2, 500, 2_000)];
    policies.extend(reserved.map(|replicas| Policy::Reserved { replicas }));
    policies.extend([2, 8, STREAMS].map(|streams| Policy::Unmanaged { streams }));
    policies
}

impl Policy {
    pub(super) fn name(&self) -> &'static str {
        match self {
            Policy::OnlineAlone => "online_alone",
            Policy::BatchAlone => "batch_alone",
            Policy::Managed(_) => "managed",
            Policy::Reserved { .. } => "reserved",
            Policy::Unmanaged { .. } => "unmanaged",
        }
    }

    /// The setting of the policy's knob, as text.
    pub(super) fn knob(&self) -> String {
        match self {
            Policy::OnlineAlone | Policy::BatchAlone => String::new(),
            Policy::Managed(managed) => {
                let Managed { margin, hold_ms, hold_limit_ms, streams, prefills } = managed;
                format!(
                    "margin={margin} hold={hold_ms}..{hold_limit_ms}ms streams={streams} \
                     prefills={prefills}"
                )
            }
            Policy::Reserved { replicas } => format!("replicas={replicas}"),
            Policy::Unmanaged { streams } => format!("streams={streams}"),
        }
    }

    pub(super) fn has_online(&self) -> bool {
        *self != Policy::BatchAlone
    }

    pub(super) fn has_batch(&self) -> bool {
        *self != Policy::OnlineAlone
    }

    /// Replicas that are set aside for batch work.
    pub(super) fn reserved(&self) -> usize {
        match self {
            Policy::Reserved { replicas } => *replicas,
            _ => 0,
        }
    }

    /// The model that batch items name.
    pub(super) fn batch_model(&self) -> &'static str {
        match self {
            Policy::Reserved { .. } => RESERVED_MODEL,
            _ => MODEL,
        }
    }

    /// The runners' settings.
    pub(super) fn runner(&self) -> Value {
        match self {
            Policy::OnlineAlone => json!({}),
            Policy::BatchAlone | Policy::Reserved { .. } => {
                json!({ "policy": "unmanaged", "streams": STREAMS })
            }
            Policy::Unmanaged { streams } => {
                json!({ "policy": "unmanaged", "streams": streams })
            }
            Policy::Managed(managed) => json!({
                "policy": "managed",
                "streams": managed.streams,
                "prefills": managed.prefills,
                "margin": managed.margin,
                "hold_ms": managed.hold_ms,
                "hold_limit_ms": managed.hold_limit_ms,
            }),
        }
    }

    /// Declares the deployments that the policy needs.
    pub(super) fn declare(&self, plan: &mut Plan) {
        let Some(shared) = plan.piece.deployments.get_mut(&Deployment::from(DEPLOYMENT)) else {
            return;
        };
        shared.batch = self.has_batch() && self.reserved() == 0;
        if self.reserved() == 0 {
            return;
        }
        let reserved = DeploymentSpec {
            models: vec![Model::from(RESERVED_MODEL)],
            batch: true,
            ..shared.clone()
        };
        plan.piece.deployments.insert(Deployment::from(RESERVED_DEPLOYMENT), reserved);
    }
}
