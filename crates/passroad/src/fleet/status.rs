//! The fleet's status for operators: the management endpoint asks, the fleet's thread answers.

use super::machines::MachineFilter;
use passroad_upkeep::{Message, Rejection};
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

pub type FleetRequests = mpsc::UnboundedReceiver<FleetRequest>;

/// Requests to the fleet's thread.
pub enum FleetRequest {
    Status(oneshot::Sender<Value>),
    /// The operation log as far as it is known here; no answer if the fleet file doesn't configure maintenance.
    Log(oneshot::Sender<Value>),
    /// The ids of the listed machines that match.
    FindMachines(MachineFilter, oneshot::Sender<Vec<String>>),
    /// An operator's request or action; answered once the coordinator has it.
    Submit {
        message: Message,
        answer: oneshot::Sender<Option<Rejection>>,
    },
    /// Answered once this sidecar knows which machines are out.
    WaitInformed(oneshot::Sender<()>),
}

/// Sends requests to the fleet's thread.
#[derive(Clone)]
pub struct FleetHandle {
    requests: mpsc::UnboundedSender<FleetRequest>,
    /// Whether the fleet file configures maintenance.
    pub maintenance: bool,
}

pub fn fleet_handle(maintenance: bool) -> (FleetHandle, FleetRequests) {
    let (sender, requests) = mpsc::unbounded_channel();
    (
        FleetHandle {
            requests: sender,
            maintenance,
        },
        requests,
    )
}

impl FleetHandle {
    async fn call<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> FleetRequest,
        timeout: Duration,
    ) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        self.requests.send(request(sender)).ok()?;
        tokio::time::timeout(timeout, answer).await.ok()?.ok()
    }

    /// None if the fleet's thread has ended or is too busy.
    pub async fn status(&self) -> Option<Value> {
        self.call(FleetRequest::Status, ANSWER_TIMEOUT).await
    }

    pub async fn find_machines(&self, filter: MachineFilter) -> Option<Vec<String>> {
        self.call(
            |answer| FleetRequest::FindMachines(filter, answer),
            ANSWER_TIMEOUT,
        )
        .await
    }

    pub async fn operation_log(&self) -> Option<Value> {
        self.call(FleetRequest::Log, ANSWER_TIMEOUT).await
    }

    /// None if no coordinator has answered yet: the request stands and is sent again until one does.
    pub async fn submit(&self, message: Message) -> Option<Option<Rejection>> {
        self.call(
            |answer| FleetRequest::Submit { message, answer },
            ANSWER_TIMEOUT,
        )
        .await
    }

    /// Waits until this sidecar knows which machines are out, up to a timeout. Returns whether it does.
    pub async fn wait_informed(&self, timeout: Duration) -> bool {
        self.call(FleetRequest::WaitInformed, timeout)
            .await
            .is_some()
    }
}

/// Sends a request to the management endpoint of a running sidecar.
pub fn request_json(
    endpoint: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<Value, String> {
    let describe = |e: std::io::Error| format!("{endpoint}: {e}");
    let mut stream = TcpStream::connect_timeout(&endpoint, CALL_TIMEOUT).map_err(describe)?;
    stream
        .set_read_timeout(Some(CALL_TIMEOUT))
        .map_err(describe)?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {endpoint}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    stream
        .write_all(format!("{head}{body}").as_bytes())
        .map_err(describe)?;
    let mut bytes = Vec::new();
    stream
        .take(MAX_RESPONSE_BYTES)
        .read_to_end(&mut bytes)
        .map_err(describe)?;
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let length = match head.parse(&bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        _ => return Err(format!("{endpoint}: malformed response")),
    };
    let response: Value =
        serde_json::from_slice(&bytes[length..]).map_err(|e| format!("{endpoint}: {e}"))?;
    match head.code {
        Some(200 | 202) => Ok(response),
        _ => Err(format!(
            "{endpoint}: {}",
            response["error"].as_str().unwrap_or("request refused")
        )),
    }
}

/// The fleet's status as text.
pub fn format_status(status: &Value) -> String {
    let mut text = String::new();
    let number = |v: &Value| v.as_u64().unwrap_or_default();
    let members = status["members"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let count = |state: &str| members.iter().filter(|m| m["standing"] == state).count();
    let _ = writeln!(
        text,
        "sidecar {} of {}: {} alive, {} suspect, {} dead{}",
        number(&status["me"]),
        members.len(),
        count("here"),
        count("doubt"),
        count("gone"),
        if status["mute"] == true {
            "; recovering as a voter"
        } else {
            ""
        }
    );
    let _ = writeln!(
        text,
        "{:<16} {:>7} {:>15} {:>8}  voters",
        "duty", "owner", "epoch", "left ms"
    );
    for duty in status["duties"].as_array().into_iter().flatten() {
        let owner = duty["owner"]
            .as_u64()
            .map_or("none".into(), |n| n.to_string());
        let left = duty["left_ms"]
            .as_u64()
            .map_or("-".into(), |n| n.to_string());
        let voters: Vec<String> = duty["voters"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|v| number(v).to_string())
            .collect();
        let name = duty["name"].as_str().unwrap_or_default();
        let _ = writeln!(
            text,
            "{name:<16} {owner:>7} {:>15} {left:>8}  {}",
            number(&duty["epoch"]),
            voters.join(" ")
        );
    }
    for (state, title) in [("doubt", "suspect"), ("gone", "dead")] {
        let indices = members
            .iter()
            .filter(|m| m["standing"] == state)
            .map(|m| number(&m["n"]).to_string());
        let indices: Vec<String> = indices.collect();
        if !indices.is_empty() {
            let _ = writeln!(text, "{title}: {}", indices.join(" "));
        }
    }
    text
}
