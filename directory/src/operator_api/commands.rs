//! Submitting a command to the replicated log.

use super::error::ApiError;
use super::proposal::read_proposal;
use crate::control_plane::ControlPlane;
use simd_json::json;
use std::time::Duration;
use transport::http_server::{self, Request, Response};

/// How long a proposal is submitted for, over changes of leader.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Submits the proposal in the body; one without a base is built on the newest state.
pub(super) async fn submit(
    control: &ControlPlane,
    request: Request,
    document_limit_bytes: usize,
) -> Result<Response, ApiError> {
    let value = http_server::read_json(request, document_limit_bytes).await?;
    let proposal = read_proposal(&value).map_err(ApiError::BadProposal)?;
    let id = proposal.id.clone();
    let result = match proposal.base_epoch {
        0 => {
            control
                .execute(
                    proposal.id,
                    proposal.command,
                    SUBMIT_TIMEOUT,
                    SUBMIT_TIMEOUT,
                )
                .await
        }
        _ => control.submit(proposal, SUBMIT_TIMEOUT).await,
    };
    match result {
        Ok(committed) => {
            let (epoch, is_repeated) = (committed.epoch, committed.is_repeated);
            log::info!(proposal = id.as_str(), epoch, is_repeated; "An operator's command is applied");
            let body = json!({ "id": id, "epoch": epoch, "repeated": is_repeated });
            Ok(http_server::json(200, &body))
        }
        Err(error) => {
            log::info!(proposal = id.as_str(); "An operator's command is not applied: {error}");
            Err(ApiError::Command { error, id })
        }
    }
}
