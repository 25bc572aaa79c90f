//! The directory nodes and what they know of the fleet.

use crate::arguments::{CommandSpec, Words};
use crate::client::OperatorApi;
use crate::status;
use simd_json::prelude::*;

/// How the commands of this group are written.
pub const SPECS: &[CommandSpec] = &[
    CommandSpec::new(
        "bootstrap",
        "",
        "bootstrap a cluster at a node without data; once, for good",
        &[],
    ),
    CommandSpec::new(
        "status",
        "",
        "who leads, who lags, what is not yet in force and where",
        &["json"],
    ),
    CommandSpec::new("members", "", "the directory nodes", &["json"]),
    CommandSpec::new(
        "remove-member",
        "IDENTITY",
        "remove a directory node for good",
        &[],
    ),
    CommandSpec::new(
        "explain",
        "TENANT SERVICE [REGION]",
        "which engine a key gets just now, and why",
        &[],
    ),
];

/// A command of this group.
pub enum ClusterCommand {
    /// Makes the node that is asked the first member of a new cluster.
    Bootstrap,
    /// Prints the cluster's status.
    Status {
        /// As JSON.
        is_json: bool,
    },
    /// Prints the members.
    Members {
        /// As JSON, with the whole status.
        is_json: bool,
    },
    /// Removes a member.
    RemoveMember {
        /// 16 hexadecimal digits.
        identity: String,
    },
    /// Explains the selection of an engine.
    Explain {
        /// The tenant.
        tenant: String,
        /// The service.
        service: String,
        /// The region that the request comes from; the node's own where it is left out.
        region: Option<String>,
    },
}

impl ClusterCommand {
    /// The command of this name, if it belongs here.
    pub fn read(name: &str, words: &Words) -> Option<ClusterCommand> {
        let is_json = words.has_flag("json");
        Some(match name {
            "bootstrap" => ClusterCommand::Bootstrap,
            "status" => ClusterCommand::Status { is_json },
            "members" => ClusterCommand::Members { is_json },
            "remove-member" => ClusterCommand::RemoveMember {
                identity: words.required(0),
            },
            "explain" => ClusterCommand::Explain {
                tenant: words.required(0),
                service: words.required(1),
                region: words.optional(2),
            },
            _ => return None,
        })
    }

    /// Sends the request and prints the response.
    pub async fn run(self, api: &OperatorApi) -> anyhow::Result<()> {
        match self {
            ClusterCommand::Bootstrap => {
                let response = api.post("/found", "").await?;
                let cluster = response.get("cluster").and_then(|v| v.as_str());
                println!("bootstrapped: cluster {}", cluster.unwrap_or(""));
            }
            ClusterCommand::Status { is_json: false } => status::print(&api.get("/status").await?),
            ClusterCommand::Members { is_json: false } => {
                status::print_members(&api.get("/status").await?);
            }
            ClusterCommand::Status { is_json: true }
            | ClusterCommand::Members { is_json: true } => {
                println!("{}", api.get("/status").await?.encode_pp());
            }
            ClusterCommand::RemoveMember { identity } => {
                let target = format!("/retire?identity={identity}");
                api.post(&target, "").await?;
                println!("removed: {identity}");
            }
            ClusterCommand::Explain {
                tenant,
                service,
                region,
            } => {
                let region = region.map_or(String::new(), |region| format!("&region={region}"));
                let target = format!("/explain?tenant={tenant}&service={service}{region}");
                println!("{}", api.get(&target).await?.encode_pp());
            }
        }
        Ok(())
    }
}
