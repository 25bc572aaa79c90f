//! Identification: the route, the tenant and the model of a request, from its head
//! and as much of its body as that takes.

use super::authorize::Client;
use super::body::IncomingBody;
use super::Ingress;
use crate::rejection::RouterRejection;
use dispatch::{apply_event, RequestParts};
use placement::{RequestEvent, RequestStateMachine};
use policy::{
    ExtractedKey, Ingress as IngressRules, KeyField, Prompt, RequestHead, Route, Source, Target,
    BODY_LIMIT_BYTES,
};
use residency::View;
use tokio::time::Instant;

/// Evaluates the rules for one request.
struct Rules<'a> {
    view: &'a View,
    head: &'a http::request::Parts,
    /// Chooses among alternatives of the rules, the same for each attempt.
    draw: u64,
}

impl<'a> Rules<'a> {
    fn new(view: &'a View, head: &'a http::request::Parts, id: &str) -> Rules<'a> {
        Rules {
            view,
            head,
            draw: policy::stable_hash(id.as_bytes()),
        }
    }

    fn with_head<T>(&self, evaluate: impl FnOnce(&RequestHead) -> T) -> T {
        let header = |name: &str| self.head.headers.get(name)?.to_str().ok().map(String::from);
        evaluate(&RequestHead {
            method: self.head.method.as_str(),
            path: self.head.uri.path(),
            query: self.head.uri.query().unwrap_or(""),
            header: &header,
            split_seed: self.draw,
        })
    }

    fn route(&self) -> Option<usize> {
        self.with_head(|head| self.view.program.match_route(head))
    }

    fn extract(&self, route: usize, body: &IncomingBody) -> ExtractedKey {
        self.with_head(|head| {
            self.view.program.extract_key(
                route,
                head,
                body.buffered(),
                body.is_ended(),
                BODY_LIMIT_BYTES,
            )
        })
    }

    fn prompt(&self, route: &Route) -> Prompt {
        self.with_head(|head| self.view.program.prompt(route, head))
    }
}

/// What the rules say of a request.
pub struct Identified<'a> {
    /// The request's state machine.
    pub state: RequestStateMachine,
    view: &'a View,
    route: &'a Route,
    listener: &'a IngressRules,
    extract: ExtractedKey,
    /// `None` while no tenant key was found.
    client: Option<Client>,
    /// On this process's clock.
    deadline_ms: u64,
    prompt: Prompt,
}

/// Where a request may go: the tenant and service by which its mapping is looked up,
/// and what narrows the choice within the mapping.
pub struct RoutingKey {
    pub tenant: String,
    pub service: String,
    /// The hash of the prompt's prefix; 0 where the rules read none.
    pub prefix: u64,
    /// The route's own home regions; empty stands for any region.
    pub homes: Vec<String>,
}

/// The route of a request, and its deadline. Both stay as they are when the rules change.
pub struct MatchedRoute {
    /// In the program.
    index: usize,
    arrived_ms: u64,
    /// The earlier of the client's and the route's, on this process's clock.
    pub deadline_ms: u64,
}

impl Ingress {
    /// The route of a request, by its head; `None` where no route matches.
    pub(super) fn match_route(
        &self,
        view: &View,
        head: &http::request::Parts,
        id: &str,
        arrived_ms: u64,
    ) -> Option<MatchedRoute> {
        let index = Rules::new(view, head, id).route()?;
        let timeout_ms = view.program.routes[index].deadline_ms;
        let remaining_ms = (self.clients.remaining_ms)(&head.headers).unwrap_or(u64::MAX);
        Some(MatchedRoute {
            index,
            arrived_ms,
            deadline_ms: arrived_ms + timeout_ms.min(remaining_ms),
        })
    }

    /// Reads the request as far as its tenant and model are known, or known to be
    /// unreadable here.
    ///
    /// # Errors
    /// [`RouterRejection`]: `BodyTooLong`, `BodyTooSlow`, `BodyUnreadable`,
    /// `TenantKeyMissing`, `TenantKeyUnknown`.
    pub(super) async fn identify<'a>(
        &self,
        view: &'a View,
        head: &http::request::Parts,
        body: &mut IncomingBody,
        id: &str,
        matched: &MatchedRoute,
    ) -> Result<Identified<'a>, RouterRejection> {
        let rules = Rules::new(view, head, id);
        body.check_length()?;
        let route_index = matched.index;
        let route = &view.program.routes[route_index];
        let listener = &view.program.ingresses[route.ingress];
        log::info!(job = id; "the request is received");
        let mut state = RequestStateMachine::new(route.is_idempotent);
        if let Some(most) = route.max_attempts {
            state = state.with_max_attempts(most);
        }
        // The head alone may tell the tenant, before a byte of the body is read.
        let mut extract = rules.extract(route_index, body);
        self.deposit_retry(view, &extract, matched.arrived_ms);
        let mut client = match route.is_public {
            true => Some(Client::public()),
            false => Client::of_key(view, &extract)?,
        };
        if client.is_none()
            && extract.tenant == KeyField::Missing
            && listener.tenant_source.is_in_head()
        {
            return Err(RouterRejection::TenantKeyMissing {
                listener: listener.name.clone(),
            });
        }
        let until = Instant::now() + self.router.settings.body_head_timeout;
        while !extract.is_complete() && !body.is_ended() && !body.is_past_key_cap() {
            body.read_frame(until, "the part of the body that holds the key")
                .await?;
            extract = rules.extract(route_index, body);
            if client.is_none() {
                client = Client::of_key(view, &extract)?;
            }
        }
        apply_event(&mut state, RequestEvent::RoutingKeyExtracted);
        Ok(Identified {
            state,
            view,
            route,
            listener,
            extract,
            client,
            deadline_ms: matched.deadline_ms,
            prompt: rules.prompt(route),
        })
    }

    /// Counts the request towards the retry budget of its service.
    fn deposit_retry(&self, view: &View, extract: &ExtractedKey, arrived_ms: u64) {
        let service = match &extract.service {
            KeyField::Known(service) => service,
            _ => "",
        };
        (self.retries.deposit)(arrived_ms, service, view.program.set_points.retry_ratio);
    }
}

impl Identified<'_> {
    /// The client of a route that is not public.
    pub fn authenticated_client(&self) -> Option<&Client> {
        self.client.as_ref().filter(|_| !self.route.is_public)
    }

    /// The earlier of the client's deadline and the route's, on this process's clock.
    pub fn deadline_ms(&self) -> u64 {
        self.deadline_ms
    }

    /// The tenant, where it is known.
    pub fn tenant(&self) -> Option<&str> {
        self.client.as_ref().map(|client| client.tenant.as_str())
    }

    /// What is sent on beside the body.
    pub fn outgoing(&mut self, head: &http::request::Parts, id: &str) -> RequestParts {
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let client = self.client.as_ref();
        RequestParts {
            id: id.into(),
            method: head.method.clone(),
            target: target.to_string(),
            headers: head.headers.clone(),
            key_digest: client.map_or(String::new(), |client| client.key_fingerprint.clone()),
            deadline_ms: self.deadline_ms,
            prompt: std::mem::take(&mut self.prompt),
            urgency: client
                .and_then(|client| self.view.tenants.get(&client.tenant))
                .map(|limits| limits.urgency)
                .filter(|urgency| *urgency != u8::MAX)
                .or(self.route.urgency),
            latency_slo_ms: self.route.latency_slo_ms.unwrap_or(0),
        }
    }

    /// The routing key. `None` where it lies past the cap of what is read here, so
    /// that only a directory node can find it.
    ///
    /// # Errors
    /// [`RouterRejection::TenantKeyMissingInBody`], [`RouterRejection::ModelMissing`].
    pub fn routing_key(
        &self,
        is_past_key_cap: bool,
    ) -> Result<Option<RoutingKey>, RouterRejection> {
        match (self.tenant(), &self.extract.service) {
            (Some(tenant), KeyField::Known(service)) => Ok(Some(RoutingKey {
                tenant: tenant.into(),
                service: service.clone(),
                prefix: self.extract.prefix_hash.unwrap_or(0),
                homes: self.route.homes.clone(),
            })),
            _ if is_past_key_cap => Ok(None),
            (None, _) => Err(RouterRejection::TenantKeyMissingInBody {
                listener: self.listener.name.clone(),
            }),
            _ => Err(RouterRejection::ModelMissing {
                location: self.model_location(),
            }),
        }
    }

    /// Where the rules look for the model, for a rejection.
    fn model_location(&self) -> String {
        match (&self.route.target, &self.listener.model_source) {
            (Target::Model, Some(Source::Body(path))) => format!("body field {}", path.join(".")),
            _ => "where the listener looks for it".to_string(),
        }
    }
}
