//! The applications beside the sidecars. The load is open: each command is a task of its own from its time on, so that a
//! slow sidecar can't slow what comes after.

use super::http::{Message, Talk};
use super::scene::{Scene, held, id};
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

/// One sidecar as its application sees it.
pub struct Side {
    pub address: SocketAddr,
    /// Application and sidecar stop and start together: nothing new is asked meanwhile.
    pub away: AtomicBool,
    kept: Mutex<Vec<Talk>>,
}

impl Side {
    pub fn new(address: SocketAddr) -> Self {
        Side {
            address,
            away: AtomicBool::new(false),
            kept: Mutex::default(),
        }
    }
}

pub struct Clients {
    pub scene: Arc<Scene>,
    pub sides: Vec<Arc<Side>>,
    asks: Mutex<RequestGenerator>,
    lateness: Mutex<Vec<Duration>>, // by which first tries were asked after their time
}

/// A load that is asked later than this by one in a hundred is not the load that was planned.
const LATE: Duration = Duration::from_millis(20);

/// How much later than its limit an answer may come for reasons of the machine.
pub const SLACK: Duration = Duration::from_millis(50);

impl Clients {
    pub fn new(scene: &Arc<Scene>, sides: Vec<Arc<Side>>, seed: u64) -> Arc<Self> {
        let asks = Mutex::new(RequestGenerator::new(&scene.plan, seed));
        Arc::new(Clients {
            scene: Arc::clone(scene),
            sides,
            asks,
            lateness: Mutex::default(),
        })
    }

    /// Asks until the day is over.
    pub async fn run(self: Arc<Self>) {
        loop {
            let next = held(&self.asks).next_request();
            let Some((at, ask)) = next else { return };
            tokio::time::sleep_until(self.scene.instant(at)).await;
            held(&self.lateness).push(self.scene.now().saturating_sub(at));
            tokio::spawn(Arc::clone(&self).ask(ask, at));
        }
    }

    /// A remark where the load itself came late: the machine was too busy, and the day says little of the sidecars.
    pub fn late(&self) -> Option<String> {
        let mut all = held(&self.lateness).clone();
        all.sort_unstable();
        let worst = all
            .get(all.len().saturating_sub(1 + all.len() / 100))
            .copied()?;
        (worst > LATE).then(|| {
            format!("THE LOAD CAME LATE: one in a hundred commands was asked {worst:.0?} and more after its time; \
                     this machine was too busy to tell anything of the sidecars")
        })
    }

    fn request(&self, ask: &ClientRequest, id: &str) -> Vec<u8> {
        let plan = &self.scene.plan;
        let verb = &plan.classes[ask.class];
        let mut head = String::new();
        if let Some(company) = ask.tenant {
            head += &format!("Req-Owner: {}\r\n", plan.tenants[company].0);
        }
        if ask.is_retry && plan.retries_marked {
            head += "Req-Retry: 1\r\n";
        }
        if verb.effect == Effect::Keyed {
            head += &format!("Idempotency-Key: k{}\r\n", ask.serial);
        }
        let (method, body) = match verb.effect {
            Effect::Safe => ("GET", ""),
            Effect::Keyed | Effect::NonIdempotent => ("POST", "seat"),
        };
        if !body.is_empty() {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        let (name, limit) = (&verb.name, verb.time_limit.as_millis());
        let line = format!(
            "{method} /{name} HTTP/1.1\r\nHost: rig\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {limit}\r\n"
        );
        format!("{line}{head}\r\n{body}").into_bytes()
    }

    async fn ask(self: Arc<Self>, mut ask: ClientRequest, mut planned: Duration) {
        loop {
            let side = Arc::clone(&self.sides[ask.instance]);
            if side.away.load(Relaxed) {
                return;
            }
            let (cmd, asked) = self.scene.asked(ask, planned);
            ask = asked;
            let id = id(cmd);
            let request = self.request(&ask, &id);
            let verb = &self.scene.plan.classes[ask.class];
            let end = self
                .scene
                .instant(self.scene.now() + verb.time_limit + SLACK);
            let answer = match timeout_at(end, exchange(&side, &request)).await {
                Ok(Ok(answer)) => answer,
                // A connection that ends without an answer, or none by the end: the ledger sees that nothing came.
                Ok(Err(_)) if side.away.load(Relaxed) => return,
                Ok(Err(fault)) => {
                    log::debug!("command {cmd}: {fault}");
                    return;
                }
                Err(_) => return,
            };
            let (answer, after) = match answer.status {
                200 => {
                    let own = answer
                        .body
                        .strip_prefix(id.as_bytes())
                        .is_some_and(|b| b.starts_with(b" by "));
                    if !own {
                        self.scene.note(Entry::AnswerMixedUp { command: cmd });
                    }
                    (Answer::Answered, None)
                }
                429 | 503 => {
                    let after = answer
                        .header("retry-after")
                        .and_then(|t| t.parse::<f64>().ok());
                    (
                        Answer::Refused,
                        after.map(|s| Duration::from_secs_f64(s.clamp(0.0, 60.0))),
                    )
                }
                _ => (Answer::Failed, None),
            };
            self.scene.note(Entry::Answered {
                command: cmd,
                answer,
            });
            if answer != Answer::Refused {
                return;
            }
            let again = held(&self.asks).retry(&ask, after);
            let Some((wait, next)) = again else { return };
            planned = self.scene.now() + wait;
            sleep(wait).await;
            if self.scene.now() >= self.scene.plan.length {
                return;
            }
            ask = next;
        }
    }
}

/// One request and its answer, over a kept connection where there is one. One that turns out to be closed has taken
/// nothing: the request goes once more over a new one.
async fn exchange(side: &Side, request: &[u8]) -> io::Result<Message> {
    let kept = held(&side.kept).pop();
    if let Some(mut talk) = kept
        && let Ok(Some(answer)) = once(&mut talk, request).await
    {
        keep(side, talk, &answer);
        return Ok(answer);
    }
    let mut talk = Talk::new(TcpStream::connect(side.address).await?);
    let answer = once(&mut talk, request)
        .await?
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    keep(side, talk, &answer);
    Ok(answer)
}

async fn once(talk: &mut Talk, request: &[u8]) -> io::Result<Option<Message>> {
    talk.write(request).await?;
    talk.answer().await
}

fn keep(side: &Side, talk: Talk, answer: &Message) {
    let closes = answer
        .header("connection")
        .is_some_and(|v| v.eq_ignore_ascii_case("close"));
    if !closes && !talk.came_ahead() {
        held(&side.kept).push(talk);
    }
}
