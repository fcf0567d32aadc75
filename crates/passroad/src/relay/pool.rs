//! Connection pools, one per endpoint, and the connector that limits how many connections they open together.

use super::stream::{LastMalformed, MAX_HEAD_BYTES, MeteredStream};
use crate::body::RelayBody;
use crate::memory_budget::MemoryBudget;
use hyper::http::Uri;
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use std::error::Error;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// Connections that the old process of a handover may still open, beyond those it has.
const HANDOVER_SPARE_CONNECTIONS: usize = 8;
/// Idle connections kept per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;
/// Share of the endpoints' own idle timeout. The pool evicts expired connections once per idle timeout, so a connection may
/// stay for nearly twice as long; below one half it is still closed here before the endpoint closes it.
const IDLE_TIMEOUT_SHARE: f64 = 0.45;

/// HTTP client with a connection pool.
pub type PooledClient = legacy::Client<Dialer, RelayBody>;
type BoxError = Box<dyn Error + Send + Sync>;

/// An endpoint's address and the connection pool to it. The connections close when the last clone is dropped.
#[derive(Clone)]
pub struct EndpointPool {
    pub address: SocketAddr,
    pub client: PooledClient,
    /// Opens its connections.
    pub dialer: Dialer,
    users: Arc<()>,
    /// Cancelled when the endpoint changes or leaves after this clone was handed out: unsent relays are then dropped.
    pub invalidated: CancellationToken,
}

impl EndpointPool {
    /// Creates an empty pool; connections are opened on demand.
    pub fn new(address: SocketAddr, dialer: &Dialer) -> Self {
        let (client, dialer) = (dialer.new_client(), dialer.clone());
        EndpointPool {
            address,
            client,
            dialer,
            users: Arc::default(),
            invalidated: CancellationToken::new(),
        }
    }

    /// Returns a replacement with a fresh pool. Clones of the old one still count as users (see `is_unused`).
    pub fn replace(&mut self, address: SocketAddr) -> Self {
        self.cancel_unsent();
        let users = Arc::clone(&self.users);
        EndpointPool {
            users,
            ..EndpointPool::new(address, &self.dialer)
        }
    }

    /// The budget for what is kept of responses, if there is one.
    pub fn memory(&self) -> Option<&Arc<MemoryBudget>> {
        self.dialer.memory.as_ref()
    }

    /// Cancels relays that haven't sent their first byte.
    pub fn cancel_unsent(&mut self) {
        std::mem::take(&mut self.invalidated).cancel();
    }

    /// Whether no relay, probe or streamed response holds a clone.
    pub fn is_unused(&self) -> bool {
        Arc::strong_count(&self.users) == 1
    }
}

/// Opens connections to endpoints up to a limit; each connection holds a permit until it closes.
#[derive(Clone)]
pub struct Dialer {
    http: HttpConnector,
    connect_timeout: Duration,
    idle_timeout: Duration,
    size_limited: bool, // response sizes are limited, and requests wait for a send guard
    permits: Arc<Semaphore>,
    memory: Option<Arc<MemoryBudget>>, // for what is kept of responses
    pub(super) last_malformed: LastMalformed,
}

impl Dialer {
    /// `total_connect_time` is the time that connecting may take in all. A single attempt gets a quarter of it: a connection that
    /// comes up at all does so in a fraction of that, and time is left to try another endpoint. Idle connections are closed well
    /// before `endpoint_idle_timeout`, after which endpoints close them.
    pub fn new(
        total_connect_time: Duration,
        endpoint_idle_timeout: Duration,
        max_connections: usize,
    ) -> Self {
        let connect_timeout = total_connect_time / 4;
        let mut http = HttpConnector::new();
        http.set_nodelay(true);
        http.set_connect_timeout(Some(connect_timeout));
        let (idle_timeout, permits) = (
            endpoint_idle_timeout.mul_f64(IDLE_TIMEOUT_SHARE),
            Arc::new(Semaphore::new(max_connections)),
        );
        Dialer {
            http,
            connect_timeout,
            idle_timeout,
            size_limited: true,
            permits,
            memory: None,
            last_malformed: LastMalformed::default(),
        }
    }

    /// For callers that limit response sizes themselves and use no send guards.
    pub fn without_size_limit(self) -> Self {
        Dialer {
            size_limited: false,
            ..self
        }
    }

    /// Counts what is kept of responses against a budget.
    pub fn with_memory(self, memory: Arc<MemoryBudget>) -> Self {
        Dialer {
            memory: Some(memory),
            ..self
        }
    }

    /// How long an idle connection is kept at least.
    pub fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Gives up unused permits but a few, since another process needs the descriptors. Returns how many.
    pub fn release_unused(&self) -> usize {
        let unused = self
            .permits
            .available_permits()
            .saturating_sub(HANDOVER_SPARE_CONNECTIONS);
        self.permits.forget_permits(unused)
    }

    /// Raises the connection limit.
    pub fn add_permits(&self, count: usize) {
        self.permits.add_permits(count);
    }

    /// Whether the connection limit is reached.
    pub fn is_exhausted(&self) -> bool {
        self.permits.available_permits() == 0
    }

    /// Returns a client with a connection pool of its own.
    pub fn new_client(&self) -> PooledClient {
        self.client_with_idle(MAX_IDLE_PER_ENDPOINT)
    }

    /// Returns a client that opens a connection for each request and keeps none.
    pub fn client_without_pool(&self) -> PooledClient {
        self.client_with_idle(0)
    }

    fn client_with_idle(&self, max_idle_per_host: usize) -> PooledClient {
        legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(self.idle_timeout)
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(max_idle_per_host)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(self.clone())
    }
}

/// As many connections are open as may be, and none has become free in time. This says nothing of the endpoint.
#[derive(Debug)]
pub(super) struct NoFreeConnection;

impl fmt::Display for NoFreeConnection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "all connections to endpoints are in use")
    }
}

impl Error for NoFreeConnection {}

impl tower_service::Service<Uri> for Dialer {
    type Response = TokioIo<MeteredStream>;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<TokioIo<MeteredStream>, BoxError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.http.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, to: Uri) -> Self::Future {
        let (mut http, connect_timeout, size_limited) =
            (self.http.clone(), self.connect_timeout, self.size_limited);
        let (permits, last_malformed) = (Arc::clone(&self.permits), self.last_malformed.clone());
        Box::pin(async move {
            let permit = tokio::time::timeout(connect_timeout, permits.acquire_owned()).await;
            let permit = permit.map_err(|_| NoFreeConnection)??;
            let stream = http.call(to).await?.into_inner();
            Ok(TokioIo::new(MeteredStream {
                stream,
                exchanges: Arc::default(),
                size_limited,
                last_malformed,
                hold_off: None,
                _permit: permit,
            }))
        })
    }
}
