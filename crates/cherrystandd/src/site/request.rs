//! A caller's request, read whole and allowed.

use std::cell::OnceCell;

use bytes::Bytes;
use cherrystand_core::{
    AllowedRegions, BoxId, EngineSpec, Fingerprint, Millis, RegionId, RequestSpec, Route,
    RouteError, RouteTable, ServiceName, hash_bytes,
};
use cherrystand_platform::{AttemptFacts, HeldBuf, HeldBytes, HeldShare, RequestFacts, SiteDriver};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use sha2::{Digest, Sha256};

use crate::relay::headers::strip_connection;
use crate::site::trials::Trial;

/// A request on its way.
pub(crate) struct SiteRequest {
    /// What its head says.
    pub(crate) facts: RequestFacts,
    /// Its head.
    pub(crate) head: Parts,
    /// Its whole body.
    pub(crate) body: Bytes,
    /// The room that the body takes.
    pub(crate) _held: HeldShare,
    /// The route that it takes.
    pub(crate) route: Route,
    /// The tenant that its key stands for.
    pub(crate) tenant: Option<String>,
    /// The regions that its tenant binds it to.
    pub(crate) tenant_homes: Vec<RegionId>,
    /// The service that it goes to.
    pub(crate) service: ServiceName,
    /// When it came.
    pub(crate) arrived: Millis,
    /// When its caller, or its route, gives it up.
    pub(crate) deadline: Millis,
    /// What names it in all its tries, once that was asked for.
    pub(crate) fingerprint: OnceCell<Fingerprint>,
    /// The trial that it is, where it is refused otherwise.
    pub(crate) trial: OnceCell<Trial>,
}

impl SiteRequest {
    /// Returns what is left of the time within which its first event is in time.
    pub(crate) fn objective_left(&self, now: Millis) -> Millis {
        self.route.latency_goal - now.since(self.arrived)
    }

    /// Returns what names it in all its tries: a hash of its host, path, caller and body.
    ///
    /// At 3.5 KB it takes 6.2 us (release build, mean of 50,000).
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = host_of(&self.head);
            let path = self.head.uri.path_and_query().map_or("", |path| path.as_str());
            let caller = self.tenant.as_deref().unwrap_or_default();
            fingerprint_of(&[host.as_bytes(), path.as_bytes(), caller.as_bytes(), &self.body])
        })
    }

    /// Notes whether a box may have run it by now, where it is a trial.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        if let Some(trial) = self.trial.get() {
            trial.set_may_have_run(may_have_run);
        }
    }

    /// Returns what it asks of an endpoint, where its service has such an engine.
    pub(crate) fn ask(&self, engine: Option<&EngineSpec>, objective: Millis) -> RequestSpec<'_> {
        let model = self.facts.model.as_deref().filter(|_| engine.is_some());
        let homes =
            AllowedRegions { route: &self.route.allowed_regions, tenant: &self.tenant_homes };
        RequestSpec {
            service: &self.service,
            model,
            prompt: self.prompt_tokens(),
            latency_goal: objective,
            regions: homes,
        }
    }

    /// Returns the tokens of its prompt.
    pub(crate) fn prompt_tokens(&self) -> f64 {
        f64::from(self.facts.prompt.unwrap_or_default())
    }

    /// Makes the request that is sent to a box.
    pub(crate) fn endpoint_request<D: SiteDriver>(
        &self,
        target: &BoxId,
        last_event: Option<u64>,
        priority: Option<u8>,
        now: Millis,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query().and_then(|path| path.as_str().parse().ok());
        *req.uri_mut() = path.unwrap_or_default();
        let mut headers = self.head.headers.clone();
        strip_connection(&mut headers);
        headers.remove(CONTENT_LENGTH);
        let left = self.deadline.since(now);
        let tenant = self.tenant.as_deref();
        D::write_attempt(
            &mut headers,
            &AttemptFacts { target, left, tenant, last_event, priority },
        );
        *req.headers_mut() = headers;
        req
    }
}

fn host_of(head: &Parts) -> &str {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    named.or_else(|| head.uri.host()).unwrap_or_default()
}

/// Hashes parts with their lengths, so that no two lists of parts are alike.
fn fingerprint_of(parts: &[&[u8]]) -> Fingerprint {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let half: [u8; 16] = hash.finalize()[..16].try_into().unwrap_or_default();
    Fingerprint(u128::from_be_bytes(half))
}

/// What a request is allowed by.
pub(crate) struct Authorization {
    /// Its route.
    pub(crate) route: Route,
    /// The tenant that its key stands for.
    pub(crate) tenant: Option<String>,
    /// The regions that the tenant binds it to.
    pub(crate) tenant_homes: Vec<RegionId>,
    /// The service that it goes to.
    pub(crate) service: ServiceName,
}

/// Finds a request's route, tenant and service.
pub(crate) fn authorize(
    table: &RouteTable,
    head: &Parts,
    facts: &RequestFacts,
) -> Result<Authorization, StatusCode> {
    let found = table.find(host_of(head), head.uri.path(), facts.key.as_deref());
    let allowed = found.map_err(|reason| match reason {
        RouteError::NoRoute => StatusCode::NOT_FOUND,
        RouteError::UnknownKey => StatusCode::UNAUTHORIZED,
    })?;
    let id = facts.id.as_deref().unwrap_or_default();
    let service = allowed.route.service_of(hash_bytes(id.as_bytes()));
    let service = service.ok_or(StatusCode::NOT_FOUND)?.clone();
    Ok(Authorization {
        route: allowed.route.clone(),
        tenant: allowed.tenant.map(|tenant| tenant.name.clone()),
        tenant_homes: allowed
            .tenant
            .map(|tenant| tenant.allowed_regions.clone())
            .unwrap_or_default(),
        service,
    })
}

/// Returns about how many bytes a head has on the wire.
pub(crate) fn head_size(head: &Parts) -> usize {
    /// The colon, the space and the line's end beside each header.
    const LINE_OVERHEAD: usize = 4;
    let lines =
        head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD);
    lines.sum::<usize>() + head.uri.path().len() + head.uri.query().map_or(0, str::len)
}

/// Reads a body whole, up to a size, as far as there is room for it.
///
/// A caller may take any time for it. One that finds no room is told to come back: nothing of its request has run.
pub(crate) async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    held_bytes: &HeldBytes,
) -> Result<(Bytes, HeldShare), StatusCode> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > max_bytes {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let no_memory = StatusCode::SERVICE_UNAVAILABLE;
    let mut read = HeldBuf::new(held_bytes.try_hold(announced).ok_or(no_memory)?);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.len() > max_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let more = held_bytes.try_hold(read.beyond(&data)).ok_or(no_memory)?;
        read.push(&data, more);
    }
    Ok(read.finish())
}
