//! What operators are told of the fleet: asked for at their door, answered by the fleet's thread.

use super::work::Those;
use passroad_upkeep::{Message, Rejection};
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

const ANSWER_WITHIN: Duration = Duration::from_millis(800);
const CALL_WITHIN: Duration = Duration::from_secs(3);
const LONGEST: u64 = 4 << 20;

pub type Asked = mpsc::UnboundedReceiver<Ask>;

/// What the fleet's thread is asked.
pub enum Ask {
    Status(oneshot::Sender<Value>),
    /// The order of work, as far as it is known here; none where the file does not ask for one.
    Work(oneshot::Sender<Value>),
    /// The ids of machines by what the list says of them.
    Those(Those, oneshot::Sender<Vec<String>>),
    /// An operator asks for machines, or gives a word on one; answered once the conductor has it.
    Operator {
        word: Message,
        answer: oneshot::Sender<Option<Rejection>>,
    },
    /// Answered once this sidecar knows what is out for work.
    Informed(oneshot::Sender<()>),
}

#[derive(Clone)]
pub struct Door {
    ask: mpsc::UnboundedSender<Ask>,
    pub upkeep: bool,
}

pub fn door(upkeep: bool) -> (Door, Asked) {
    let (ask, asked) = mpsc::unbounded_channel();
    (Door { ask, upkeep }, asked)
}

impl Door {
    async fn answer<T>(
        &self,
        ask: impl FnOnce(oneshot::Sender<T>) -> Ask,
        within: Duration,
    ) -> Option<T> {
        let (tell, told) = oneshot::channel();
        self.ask.send(ask(tell)).ok()?;
        tokio::time::timeout(within, told).await.ok()?.ok()
    }

    /// None where the fleet's thread has ended or is too busy.
    pub async fn status(&self) -> Option<Value> {
        self.answer(Ask::Status, ANSWER_WITHIN).await
    }

    pub async fn those(&self, of: Those) -> Option<Vec<String>> {
        self.answer(|tell| Ask::Those(of, tell), ANSWER_WITHIN)
            .await
    }

    pub async fn work(&self) -> Option<Value> {
        self.answer(Ask::Work, ANSWER_WITHIN).await
    }

    /// None where no conductor has answered yet: the request stands, and goes on being said.
    pub async fn operator(&self, word: Message) -> Option<Option<Rejection>> {
        self.answer(|answer| Ask::Operator { word, answer }, ANSWER_WITHIN)
            .await
    }

    /// Waits until this sidecar knows what is out for work, but no longer than so.
    pub async fn informed(&self, within: Duration) -> bool {
        self.answer(Ask::Informed, within).await.is_some()
    }
}

/// Asks a running sidecar at its operators' door.
pub fn ask(door: SocketAddr, method: &str, path: &str, body: &str) -> Result<Value, String> {
    let fault = |e: std::io::Error| format!("{door}: {e}");
    let mut to = TcpStream::connect_timeout(&door, CALL_WITHIN).map_err(fault)?;
    to.set_read_timeout(Some(CALL_WITHIN)).map_err(fault)?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {door}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    to.write_all(format!("{head}{body}").as_bytes())
        .map_err(fault)?;
    let mut bytes = Vec::new();
    to.take(LONGEST).read_to_end(&mut bytes).map_err(fault)?;
    let mut room = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut room);
    let length = match head.parse(&bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        _ => return Err(format!("{door}: no answer that can be read")),
    };
    let said: Value =
        serde_json::from_slice(&bytes[length..]).map_err(|e| format!("{door}: {e}"))?;
    match head.code {
        Some(200 | 202) => Ok(said),
        _ => Err(format!(
            "{door}: {}",
            said["error"].as_str().unwrap_or("it said no")
        )),
    }
}

/// For people.
pub fn table(said: &Value) -> String {
    let mut text = String::new();
    let number = |v: &Value| v.as_u64().unwrap_or_default();
    let members = said["members"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let count = |word: &str| members.iter().filter(|m| m["standing"] == word).count();
    let _ = writeln!(
        text,
        "sidecar {} of {}: {} here, {} in doubt, {} gone{}",
        number(&said["me"]),
        members.len(),
        count("here"),
        count("doubt"),
        count("gone"),
        if said["mute"] == true {
            "; mute as a voter"
        } else {
            ""
        }
    );
    let _ = writeln!(
        text,
        "{:<16} {:>7} {:>15} {:>8}  voters",
        "duty", "owner", "epoch", "left ms"
    );
    for duty in said["duties"].as_array().into_iter().flatten() {
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
    for word in ["doubt", "gone"] {
        let those = members
            .iter()
            .filter(|m| m["standing"] == word)
            .map(|m| number(&m["n"]).to_string());
        let those: Vec<String> = those.collect();
        if !those.is_empty() {
            let _ = writeln!(text, "{word}: {}", those.join(" "));
        }
    }
    text
}
