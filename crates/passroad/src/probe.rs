//! Probes an endpoint: one request to its load report or health path.

use crate::body::RelayBody;
use crate::relay::{
    EndpointPool, ExchangeContext, ExchangeResult, PauseLimit, Progress, exchange,
    parse_load_report,
};
use bytes::Bytes;
use hyper::{Request, Response};
use passroad_choice::{Outcome, ReportMode};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// How long a late response is still read. It counts as a timeout, but reading it keeps the connection.
const LATE_READ_TIME: Duration = Duration::from_secs(2);
/// Extra time after the timeout, in which a response that has arrived already is read.
const EXTRA_READ_TIME: Duration = Duration::from_millis(5);

/// Probes an endpoint. With load reports configured, the response is one.
pub async fn run(pool: EndpointPool, mode: ReportMode, probe_timeout: Duration) -> ExchangeResult {
    let (sender, mut receiver) = oneshot::channel();
    let dialer = pool.dialer.clone();
    tokio::spawn(async move {
        let result = timeout(LATE_READ_TIME, send(&pool, mode)).await;
        let _ = sender.send(result.unwrap_or(Outcome::TimedOut.into()));
    });
    if let Ok(Ok(result)) = timeout(probe_timeout, &mut receiver).await {
        return result;
    }
    // Prevents an endpoint from counting as unresponsive after this process was suspended: its response waits to be read.
    timeout(EXTRA_READ_TIME, receiver)
        .await
        .ok()
        .and_then(Result::ok)
        .unwrap_or_else(|| match dialer.is_exhausted() {
            // It may still wait for a free connection, which says nothing of the endpoint.
            true => Outcome::NotSent.into(),
            false => Outcome::TimedOut.into(),
        })
}

async fn send(pool: &EndpointPool, mode: ReportMode) -> ExchangeResult {
    let address = pool.address;
    let path = if mode == ReportMode::Silent {
        "/healthz"
    } else {
        "/load"
    };
    let Ok(request) = Request::get(format!("http://{address}{path}")).body(RelayBody::default())
    else {
        return Outcome::NotSent.into();
    };
    let context = ExchangeContext {
        min_wire_len: &|| Some(path.len()),
        guard: None,
        memory: pool.memory(),
        pause_limit: PauseLimit::PROBE,
        progress: &Progress::default(),
    };
    let mut result = exchange(&pool.client, request, context).await;
    let body = result
        .response
        .take()
        .map(Response::into_body)
        .unwrap_or_default()
        .into_buffered()
        .take();
    result.report = result.report.or_else(|| report_in(&body?));
    result
}

/// The load report in a response body, if it is one.
fn report_in(body: &Bytes) -> Option<passroad_choice::LoadReport> {
    std::str::from_utf8(body).ok().and_then(parse_load_report)
}

#[cfg(test)]
mod tests;
