//! Dispatch: to an engine in a cell of the mapping, within the route's home regions.

use super::identify::RoutingKey;
use super::lookup::Found;
use super::Ingress;
use crate::rejection::{RouterRejection, MAPPING_INVALIDATED};
use dispatch::{apply_event, RequestBody, RequestParts};
use placement::{ExecutionOutcome, RequestEvent, RequestStateMachine};
use residency::{Mapping, View};
use transport::http_server::Response;
use transport::rejection::Rejection;

/// How often a request is dispatched by a mapping that turns out to be invalid.
const MAX_LOOKUPS: u32 = 3;

impl Ingress {
    /// Looks the mapping up and sends the request to an engine. A mapping that is
    /// invalidated in between is looked up again, while nothing can have run.
    ///
    /// # Errors
    /// Of the lookup, of the home regions, or of the dispatcher; each says whether
    /// the request may have run.
    pub(super) async fn look_up_and_dispatch(
        &self,
        mut state: RequestStateMachine,
        parts: &RequestParts,
        mut body: RequestBody,
        routing_key: &RoutingKey,
    ) -> Result<Response, Rejection> {
        for _ in 0..MAX_LOOKUPS {
            let found = self
                .look_up(&mut state, parts, &mut body, routing_key)
                .await?;
            let mapping = match found {
                Found::Mapping(mapping) => mapping,
                Found::Response(response) => return Ok(response),
            };
            // The state before the dispatch is what the next lookup starts from.
            match self
                .dispatch(state, parts, &mut body, mapping, routing_key)
                .await
            {
                Ok(response) => return Ok(response),
                Err(rejection) if may_look_up_again(&rejection, &body) => {}
                Err(rejection) => return Err(rejection),
            }
        }
        Err(RouterRejection::MappingUnstable.into())
    }

    /// Sends the request to an engine of the mapping, within the route's home
    /// regions.
    async fn dispatch(
        &self,
        mut state: RequestStateMachine,
        parts: &RequestParts,
        body: &mut RequestBody,
        mapping: Mapping,
        routing_key: &RoutingKey,
    ) -> Result<Response, Rejection> {
        let view = self.router.view.borrow().clone();
        let mapping = within_homes(&view, mapping, &routing_key.homes)?;
        apply_event(&mut state, RequestEvent::MappingResolved);
        let response = self
            .router
            .dispatcher
            .dispatch(&mut state, parts, body, &mapping, routing_key.prefix)
            .await?;
        Ok(super::respond::from_engine(response))
    }
}

fn may_look_up_again(rejection: &Rejection, body: &RequestBody) -> bool {
    rejection.code == MAPPING_INVALIDATED
        && rejection.outcome == ExecutionOutcome::NotRun
        && body.is_intact()
}

/// What is left of a mapping within a route's own home regions.
fn within_homes(
    view: &View,
    mapping: Mapping,
    homes: &[String],
) -> Result<Mapping, RouterRejection> {
    if homes.is_empty() {
        return Ok(mapping);
    }
    let is_home = |region: &String| homes.contains(region);
    let regions = mapping
        .regions
        .into_iter()
        .filter(|region| is_home(&region.0))
        .collect();
    let in_home = |cell: &str| view.cell(cell).is_some_and(|cell| is_home(&cell.region));
    let cells: Vec<_> = mapping
        .cells
        .into_iter()
        .filter(|cell| in_home(&cell.0))
        .collect();
    if cells.is_empty() {
        return Err(RouterRejection::NoHomeRegion);
    }
    Ok(Mapping {
        regions,
        cells,
        ..mapping
    })
}
