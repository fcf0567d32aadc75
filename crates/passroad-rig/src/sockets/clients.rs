//! The applications that send commands to the sidecars. The load is open-loop: each command is sent at its planned time
//! by a task of its own, so that a slow sidecar does not delay later commands.

use super::http::{HttpConnection, Message};
use super::run_state::{RunState, lock, request_id};
use crate::experiment::Effect;
use crate::ledger::{Answer, Entry};
use crate::load::{ClientRequest, RequestGenerator};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at};

/// A sidecar as seen by its application.
pub struct SidecarClient {
    pub address: SocketAddr,
    /// The sidecar is down. An application stops and starts together with its sidecar, so it sends nothing new
    /// meanwhile.
    pub away: AtomicBool,
    idle: Mutex<Vec<HttpConnection>>,
}

impl SidecarClient {
    pub fn new(address: SocketAddr) -> Self {
        SidecarClient {
            address,
            away: AtomicBool::new(false),
            idle: Mutex::default(),
        }
    }
}

/// The load and the clients that send it.
pub struct Clients {
    pub run_state: Arc<RunState>,
    pub targets: Vec<Arc<SidecarClient>>,
    generator: Mutex<RequestGenerator>,
    lateness: Mutex<Vec<Duration>>, // by which first attempts were sent after their planned time
}

/// Where one in a hundred commands is sent later than this, the load is not the one that was planned.
const MAX_LATENESS: Duration = Duration::from_millis(20);

/// How much later than its time limit an answer may arrive because of scheduling delays of the machine.
pub const ANSWER_SLACK: Duration = Duration::from_millis(50);

impl Clients {
    pub fn new(
        run_state: &Arc<RunState>,
        targets: Vec<Arc<SidecarClient>>,
        seed: u64,
    ) -> Arc<Self> {
        let generator = Mutex::new(RequestGenerator::new(&run_state.plan, seed));
        Arc::new(Clients {
            run_state: Arc::clone(run_state),
            targets,
            generator,
            lateness: Mutex::default(),
        })
    }

    /// Sends commands until the end of the load.
    pub async fn run(self: Arc<Self>) {
        loop {
            let next = lock(&self.generator).next_request();
            let Some((planned, request)) = next else {
                return;
            };
            tokio::time::sleep_until(self.run_state.instant(planned)).await;
            lock(&self.lateness).push(self.run_state.now().saturating_sub(planned));
            tokio::spawn(Arc::clone(&self).send(request, planned));
        }
    }

    /// A warning where the load itself was sent late: the machine was too busy, and the run says little of the
    /// sidecars.
    pub fn lateness_warning(&self) -> Option<String> {
        let mut sorted = lock(&self.lateness).clone();
        sorted.sort_unstable();
        let worst = sorted
            .get(sorted.len().saturating_sub(1 + sorted.len() / 100))
            .copied()?;
        (worst > MAX_LATENESS).then(|| {
            format!("THE LOAD WAS LATE: one in a hundred commands was sent {worst:.0?} or more after its planned time; \
                     this machine was too busy for the run to say anything about the sidecars")
        })
    }

    /// The bytes of a request.
    fn encode(&self, request: &ClientRequest, id: &str) -> Vec<u8> {
        let plan = &self.run_state.plan;
        let class = &plan.classes[request.class];
        let mut head = String::new();
        if let Some(tenant) = request.tenant {
            head += &format!("Req-Owner: {}\r\n", plan.tenants[tenant].0);
        }
        if request.is_retry && plan.retries_marked {
            head += "Req-Retry: 1\r\n";
        }
        if class.effect == Effect::Keyed {
            head += &format!("Idempotency-Key: k{}\r\n", request.serial);
        }
        let (method, body) = match class.effect {
            Effect::Safe => ("GET", ""),
            Effect::Keyed | Effect::NonIdempotent => ("POST", "seat"),
        };
        if !body.is_empty() {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        let (name, limit) = (&class.name, class.time_limit.as_millis());
        let line = format!(
            "{method} /{name} HTTP/1.1\r\nHost: rig\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {limit}\r\n"
        );
        format!("{line}{head}\r\n{body}").into_bytes()
    }

    /// Sends a request and its retries, and records the answers.
    async fn send(self: Arc<Self>, mut request: ClientRequest, mut planned: Duration) {
        loop {
            let client = Arc::clone(&self.targets[request.instance]);
            if client.away.load(Relaxed) {
                return;
            }
            let (command, recorded) = self.run_state.record_request(request, planned);
            request = recorded;
            let id = request_id(command);
            let bytes = self.encode(&request, &id);
            let class = &self.run_state.plan.classes[request.class];
            let end = self
                .run_state
                .instant(self.run_state.now() + class.time_limit + ANSWER_SLACK);
            let answer = match timeout_at(end, exchange(&client, &bytes)).await {
                Ok(Ok(answer)) => answer,
                // The connection ended without an answer, or none arrived in time: the ledger shows that there is no
                // answer.
                Ok(Err(_)) if client.away.load(Relaxed) => return,
                Ok(Err(error)) => {
                    log::debug!("command {command}: {error}");
                    return;
                }
                Err(_) => return,
            };
            let (answer, retry_after) = match answer.status {
                200 => {
                    let matches = answer
                        .body
                        .strip_prefix(id.as_bytes())
                        .is_some_and(|rest| rest.starts_with(b" by "));
                    if !matches {
                        self.run_state.record(Entry::AnswerMixedUp { command });
                    }
                    (Answer::Answered, None)
                }
                429 | 503 => {
                    let retry_after = answer
                        .header("retry-after")
                        .and_then(|seconds| seconds.parse::<f64>().ok());
                    (
                        Answer::Refused,
                        retry_after
                            .map(|seconds| Duration::from_secs_f64(seconds.clamp(0.0, 60.0))),
                    )
                }
                _ => (Answer::Failed, None),
            };
            self.run_state.record(Entry::Answered { command, answer });
            if answer != Answer::Refused {
                return;
            }
            let retry = lock(&self.generator).retry(&request, retry_after);
            let Some((delay, next)) = retry else { return };
            planned = self.run_state.now() + delay;
            sleep(delay).await;
            if self.run_state.now() >= self.run_state.plan.length {
                return;
            }
            request = next;
        }
    }
}

/// Sends one request and reads its answer, over an idle connection where there is one. An idle connection that turns
/// out to be closed has not delivered the request, which is then sent once more over a new one.
async fn exchange(client: &SidecarClient, request: &[u8]) -> io::Result<Message> {
    let idle = lock(&client.idle).pop();
    if let Some(mut connection) = idle
        && let Ok(Some(answer)) = exchange_on(&mut connection, request).await
    {
        keep_idle(client, connection, &answer);
        return Ok(answer);
    }
    let mut connection = HttpConnection::new(TcpStream::connect(client.address).await?);
    let answer = exchange_on(&mut connection, request)
        .await?
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    keep_idle(client, connection, &answer);
    Ok(answer)
}

/// Sends one request and reads its answer on a given connection; None if the connection was closed before an answer.
async fn exchange_on(
    connection: &mut HttpConnection,
    request: &[u8],
) -> io::Result<Option<Message>> {
    connection.write(request).await?;
    connection.read_response().await
}

/// Keeps a connection for later requests, unless the answer closes it or bytes are left unread.
fn keep_idle(client: &SidecarClient, connection: HttpConnection, answer: &Message) {
    let closes = answer
        .header("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if !closes && !connection.has_buffered_bytes() {
        lock(&client.idle).push(connection);
    }
}
