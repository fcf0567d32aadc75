//! One probe of one endpoint.

use crate::body::RelayBody;
use crate::relay::{EndpointPool, ExchangeResult, PooledClient, exchange, parse_load_report};
use bytes::Bytes;
use hyper::{Request, Response};
use passroad_choice::{Outcome, ReportMode};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// An answer that comes later tells nothing, but reading it keeps its connection.
const LINGER: Duration = Duration::from_secs(2);

const AFTER_STALL: Duration = Duration::from_millis(5);

/// Asks an endpoint how it is; where it has reports, the answer is one.
pub async fn run(link: EndpointPool, reports: ReportMode, within: Duration) -> ExchangeResult {
    let (tell, mut told) = oneshot::channel();
    tokio::spawn(async move {
        let ended = timeout(LINGER, ask(&link.client, link.address, reports)).await;
        let _ = tell.send(ended.unwrap_or(Outcome::TimedOut.into()));
    });
    if let Ok(Ok(ended)) = timeout(within, &mut told).await {
        return ended;
    }
    // Guards against an endpoint taken for silent after a stall of this process: its answer waits to be read.
    timeout(AFTER_STALL, told)
        .await
        .ok()
        .and_then(Result::ok)
        .unwrap_or(Outcome::TimedOut.into())
}

async fn ask(
    client: &PooledClient,
    at: std::net::SocketAddr,
    reports: ReportMode,
) -> ExchangeResult {
    let path = if reports == ReportMode::Silent {
        "/healthz"
    } else {
        "/load"
    };
    let Ok(request) = Request::get(format!("http://{at}{path}")).body(RelayBody::default()) else {
        return Outcome::NotSent.into();
    };
    let mut ended = exchange(client, request, &|| Some(path.len()), None).await;
    let body = ended
        .response
        .take()
        .map(Response::into_body)
        .unwrap_or_default()
        .into_buffered();
    ended.report = ended.report.or_else(|| body_load(&body));
    ended
}

fn body_load(body: &Bytes) -> Option<passroad_choice::LoadReport> {
    std::str::from_utf8(body).ok().and_then(parse_load_report)
}

#[cfg(test)]
mod tests;
