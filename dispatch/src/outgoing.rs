//! A request as it is sent to an engine, and the record of its dispatch.

use crate::body::{OutgoingBody, RequestBody};
use crate::dispatcher::Dispatcher;
use crate::engine_protocol::{EngineProtocol, HeaderContext};
use crate::engine_tracker::EngineSlot;
use crate::headers::strip_connection_headers;
use crate::request::RequestParts;
use residency::Mapping;
use std::sync::Arc;
use transport::now;

/// The request as it is sent to the engine of this slot. Takes the body.
pub(crate) fn outgoing_request(
    engine_protocol: &EngineProtocol,
    request: &RequestParts,
    body: &mut RequestBody,
    mapping: &Mapping,
    slot: &EngineSlot,
) -> hyper::Request<OutgoingBody> {
    let mut headers = request.headers.clone();
    strip_connection_headers(&mut headers);
    let context = HeaderContext {
        id: &request.id,
        engine: &slot.name,
        address: slot.address,
        tenant: &mapping.tenant,
        remaining_ms: request.deadline_ms.saturating_sub(now()).max(1),
        urgency: request.urgency,
    };
    (engine_protocol.rewrite_headers)(&mut headers, &context);
    let mut outgoing = hyper::Request::new(body.take_outgoing());
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request
        .target
        .parse()
        .expect("the target was parsed as a URI when it came in");
    *outgoing.headers_mut() = headers;
    outgoing
}

impl Dispatcher {
    /// What is called with the first byte of a request: it counts and logs the dispatch.
    pub(crate) fn dispatch_recorder(
        &self,
        request: &RequestParts,
        mapping: &Mapping,
        slot: &EngineSlot,
        attempt: u32,
    ) -> Box<dyn Fn() + Send> {
        let (metrics, view) = (Arc::clone(&self.metrics), self.view.clone());
        let (id, engine) = (request.id.clone(), slot.name.clone());
        let (tenant, service) = (mapping.tenant.clone(), mapping.service.clone());
        Box::new(move || {
            metrics.increment("dispatches");
            log::info!(job = id.as_str(), engine = engine.as_str(), tenant = tenant.as_str(),
                service = service.as_str(), attempt = attempt, epoch = view.borrow().epoch;
                "dispatched");
        })
    }
}
