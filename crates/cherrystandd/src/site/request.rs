//! A caller's request, read completely and authorized.

use std::cell::OnceCell;
use std::rc::Rc;

use bytes::Bytes;
use cherrystand_core::{
    AllowedRegions, BoxId, EngineSpec, Fingerprint, Millis, RegionId, RequestSpec, Route,
    RouteError, RouteTable, ServiceName, hash_bytes,
};
use cherrystand_platform::{
    AttemptHeaders, BufferReservation, RequestHeaders, RequestTries, SiteDriver,
    remove_connection_headers,
};
use http_body_util::Full;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use sha2::{Digest, Sha256};

use crate::site::caller_load::RequestInFlight;
use crate::site::trials::Trial;

/// A caller's request while it is being served.
pub(crate) struct SiteRequest {
    /// Counts it as in flight.
    pub(crate) _in_flight: RequestInFlight,
    /// What its headers say.
    pub(crate) headers: RequestHeaders,
    pub(crate) head: Parts,
    /// The complete body.
    pub(crate) body: Bytes,
    /// The memory reserved for the body.
    pub(crate) _reservation: BufferReservation,
    pub(crate) route: Route,
    /// The tenant that its API key belongs to.
    pub(crate) tenant: Option<String>,
    /// The regions that the tenant restricts it to.
    pub(crate) tenant_regions: Vec<RegionId>,
    /// The service that it is sent to.
    pub(crate) service: ServiceName,
    /// When it arrived.
    pub(crate) arrived: Millis,
    /// When its last byte had arrived.
    pub(crate) whole_at: Millis,
    /// When its caller's or its route's timeout expires.
    pub(crate) deadline: Millis,
    /// What of it may crash replicas, once that has been computed.
    pub(crate) features: OnceCell<Vec<Fingerprint>>,
    /// Set if the request is refused otherwise and runs as a trial.
    pub(crate) trial: OnceCell<Trial>,
    /// The connections that carried it so far.
    pub(crate) tries: Rc<RequestTries>,
}

impl SiteRequest {
    /// Returns how much is left of the time within which its first event meets the latency goal.
    pub(crate) fn latency_goal_left(&self, now: Millis) -> Millis {
        self.route.latency_goal - now.since(self.arrived)
    }

    /// Returns a fingerprint that is the same for all its attempts: a hash of host, path, caller
    /// and body.
    ///
    /// It is computed only when needed, as it takes 6.2 us for 3.5 KB.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.features()[0]
    }

    /// Returns the fingerprints of all of it that may crash replicas: its own one first, then those of
    /// the parts of its prompt that other requests of the service may share.
    pub(crate) fn features(&self) -> &[Fingerprint] {
        self.features.get_or_init(|| {
            let host = host_of(&self.head);
            let path = self.head.uri.path_and_query().map_or("", |path| path.as_str());
            let caller = self.tenant.as_deref().unwrap_or_default();
            let own = [host.as_bytes(), path.as_bytes(), caller.as_bytes(), &self.body];
            let service = self.service.as_str().as_bytes();
            let parts = self.headers.shared_parts.iter();
            let parts = parts.map(|id| Fingerprint::of_part(hash_of(&[service, id.as_bytes()])));
            std::iter::once(Fingerprint::of_request(hash_of(&own))).chain(parts).collect()
        })
    }

    /// Records whether a box may have run it by now, if it is a trial.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        if let Some(trial) = self.trial.get() {
            trial.set_may_have_run(may_have_run);
        }
    }

    /// Returns what it needs from an endpoint. The model is named only if the service has an
    /// engine.
    pub(crate) fn spec(
        &self,
        engine: Option<&EngineSpec>,
        latency_goal: Millis,
    ) -> RequestSpec<'_> {
        let model = self.headers.model.as_deref().filter(|_| engine.is_some());
        let regions =
            AllowedRegions { route: &self.route.allowed_regions, tenant: &self.tenant_regions };
        RequestSpec {
            service: &self.service,
            model,
            prompt_tokens: self.prompt_tokens(),
            latency_goal,
            regions,
        }
    }

    /// Returns the number of tokens of its prompt.
    pub(crate) fn prompt_tokens(&self) -> f64 {
        f64::from(self.headers.prompt_tokens.unwrap_or_default())
    }

    /// Builds the request that is sent to a box.
    pub(crate) fn endpoint_request<D: SiteDriver>(
        &self,
        target: &BoxId,
        last_event_id: Option<u64>,
        priority: Option<u8>,
        now: Millis,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query().and_then(|path| path.as_str().parse().ok());
        *req.uri_mut() = path.unwrap_or_default();
        let mut headers = self.head.headers.clone();
        remove_connection_headers(&mut headers);
        let time_left = self.deadline.since(now);
        let tenant = self.tenant.as_deref();
        D::write_attempt(
            &mut headers,
            &AttemptHeaders { target, time_left, tenant, last_event_id, priority },
        );
        *req.headers_mut() = headers;
        req
    }
}

fn host_of(head: &Parts) -> &str {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    named.or_else(|| head.uri.host()).unwrap_or_default()
}

/// Hashes each part with its length, so that different lists of parts never hash the same bytes.
fn hash_of(parts: &[&[u8]]) -> u128 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let half: [u8; 16] = hash.finalize()[..16].try_into().unwrap_or_default();
    u128::from_be_bytes(half)
}

/// The outcome of authorizing a request.
pub(crate) struct Authorization {
    pub(crate) route: Route,
    /// The tenant that the API key belongs to.
    pub(crate) tenant: Option<String>,
    /// The regions that the tenant restricts the request to.
    pub(crate) tenant_regions: Vec<RegionId>,
    /// The service that the request is sent to.
    pub(crate) service: ServiceName,
}

/// Finds a request's route, tenant and service.
pub(crate) fn authorize(
    table: &RouteTable,
    head: &Parts,
    headers: &RequestHeaders,
) -> Result<Authorization, StatusCode> {
    let found = table.find(host_of(head), head.uri.path(), headers.api_key.as_deref());
    let allowed = found.map_err(|reason| match reason {
        RouteError::NoRoute => StatusCode::NOT_FOUND,
        RouteError::UnknownKey => StatusCode::UNAUTHORIZED,
    })?;
    let id = headers.id.as_deref().unwrap_or_default();
    let service = allowed.route.service_of(hash_bytes(id.as_bytes()));
    let service = service.ok_or(StatusCode::NOT_FOUND)?.clone();
    Ok(Authorization {
        route: allowed.route.clone(),
        tenant: allowed.tenant.map(|tenant| tenant.name.clone()),
        tenant_regions: allowed
            .tenant
            .map(|tenant| tenant.allowed_regions.clone())
            .unwrap_or_default(),
        service,
    })
}

/// Returns the approximate size of a head on the wire, in bytes.
pub(crate) fn head_size(head: &Parts) -> usize {
    /// The colon, the space and the line break of each header.
    const LINE_OVERHEAD: usize = 4;
    let lines =
        head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD);
    lines.sum::<usize>() + head.uri.path().len() + head.uri.query().map_or(0, str::len)
}
