//! A stand-in for a directory node, which breaks a conversation at a given place.

use crate::{pass_time, OWN, PAST_DEADLINE};
use parking_lot::Mutex;
use protocol::{ConnectionKind, Frame, LookupResponse, RegistryUpdate};
use residency::State;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use transport::link;

/// How far a conversation goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Connected,
    Welcomed,
    HeadRead,
    Mapped,
    BodyRead,
    AnswerBegun,
    HalfAnswered,
    AllButTheEnd,
}

/// What happens there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    Reset,
    Close,
    Silence,
    /// Silence past the request's deadline, on a clock that the test moves on.
    SilencePastDeadline,
    /// A piece of the body each second, past the request's deadline, on the same clock.
    TricklePastDeadline,
    /// Half of a frame, then the end.
    HalfFrame,
    /// A frame that has no place there.
    Unexpected,
    /// The mapping of another key.
    Foreign,
    /// The node says that nothing ran, or that it doesn't know.
    Declined {
        not_run: bool,
    },
}

pub type Script = Arc<Mutex<Option<(Stage, Trouble)>>>;

pub struct Node {
    pub state: State,
    pub script: Script,
    /// Jobs of which a byte came in.
    pub handed: Mutex<Vec<String>>,
}

impl Node {
    fn mapping(&self, service: &str) -> residency::Mapping {
        residency::Mapping {
            tenant: "ana".into(),
            service: service.into(),
            regions: vec!["north".into()],
            cells: vec!["north-1".into()],
            // Hardly kept, so that each request is a miss.
            fresh_ms: 0,
            expire_ms: 0,
            epoch: self.state.epoch(),
        }
    }

    pub async fn serve(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        match link::accept_handshake(&mut stream).await?.0 {
            ConnectionKind::RouterSession => self.session(stream).await,
            ConnectionKind::Forwarding => self.job(stream).await,
            kind => anyhow::bail!("{kind:?} has no place here"),
        }
    }

    async fn session(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        let first = link::receive(&mut stream, protocol::MAX_FRAME_BYTES).await?;
        anyhow::ensure!(matches!(first, Some(Frame::Subscribe { .. })), "{first:?}");
        let epoch = self.state.epoch();
        let events = self.state.view.snapshot();
        link::send(&mut stream, &Frame::Snapshot { epoch, events }).await?;
        let address = stream.local_addr()?.to_string();
        let member = consensus::Member {
            identity: 1,
            name: "core-1".into(),
            region: "north".into(),
            zone: "north-a".into(),
            address: address.clone(),
            operator_address: address,
        };
        let news = RegistryUpdate {
            is_full: true,
            routers: Vec::new(),
            removed_routers: Vec::new(),
            directory_nodes: vec![member],
        };
        link::send(&mut stream, &Frame::RegistryUpdate(news)).await?;
        while let Some(frame) = link::receive(&mut stream, protocol::MAX_FRAME_BYTES).await? {
            let answer = match frame {
                Frame::Heartbeat { demand, .. } => Frame::Lease {
                    heartbeat: demand.heartbeat,
                    epoch,
                    grants: Vec::new(),
                },
                Frame::LookupRequest {
                    request_id: number,
                    service,
                    ..
                } => Frame::LookupResponse {
                    request_id: number,
                    response: LookupResponse::Found(self.mapping(&service)),
                },
                other => anyhow::bail!("an unexpected frame: {other:?}"),
            };
            link::send(&mut stream, &answer).await?;
        }
        Ok(())
    }

    /// True where the conversation ends here.
    async fn is_troubled(
        &self,
        stream: &mut TcpStream,
        script: Option<(Stage, Trouble)>,
        place: Stage,
    ) -> anyhow::Result<bool> {
        let Some((_, trouble)) = script.filter(|(at, _)| *at == place) else {
            return Ok(false);
        };
        match trouble {
            Trouble::Reset => stream.set_zero_linger()?,
            Trouble::Close => {}
            Trouble::Silence => std::future::pending().await,
            Trouble::SilencePastDeadline => {
                pass_time(PAST_DEADLINE).await;
                std::future::pending().await
            }
            Trouble::TricklePastDeadline => {
                for _ in 0..PAST_DEADLINE.as_secs() {
                    link::send(stream, &Frame::ResponseBody(vec![b'x'])).await?;
                    pass_time(Duration::from_secs(1)).await;
                }
                std::future::pending().await
            }
            Trouble::HalfFrame => {
                let bytes = protocol::encode(&Frame::ResponseBody(vec![0; 100]));
                stream.write_all(&bytes[..50]).await?;
            }
            Trouble::Unexpected => link::send(stream, &Frame::RequestEnd).await?,
            Trouble::Foreign => {
                // And it goes on as if that were right.
                link::send(stream, &Frame::Mapping(self.mapping("painter"))).await?;
                return Ok(false);
            }
            Trouble::Declined { not_run } => {
                let declined = Frame::Rejected {
                    status: 503,
                    code: "busy".into(),
                    text: "not now".into(),
                    not_run,
                    retry_after_ms: 5,
                };
                link::send(stream, &declined).await?;
            }
        }
        Ok(true)
    }

    async fn job(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        let script = self.script.lock().take();
        if self
            .is_troubled(&mut stream, script, Stage::Connected)
            .await?
        {
            return Ok(());
        }
        link::send(&mut stream, &Frame::Ready).await?;
        let mut first = [0];
        if matches!(stream.peek(&mut first).await, Ok(1..)) {
            self.handed.lock().push(String::new());
        }
        if self
            .is_troubled(&mut stream, script, Stage::Welcomed)
            .await?
        {
            return Ok(());
        }
        let Some(Frame::RequestHead(head)) = link::receive(&mut stream, 1 << 20).await? else {
            anyhow::bail!("it begins without a job");
        };
        *self.handed.lock().last_mut().expect("noted") = head.id;
        if self
            .is_troubled(&mut stream, script, Stage::HeadRead)
            .await?
        {
            return Ok(());
        }
        link::send(&mut stream, &Frame::Mapping(self.mapping("writer"))).await?;
        if self.is_troubled(&mut stream, script, Stage::Mapped).await? {
            return Ok(());
        }
        link::send(&mut stream, &Frame::Continue).await?;
        while !matches!(
            link::receive(&mut stream, 1 << 20).await?,
            Some(Frame::RequestEnd) | None
        ) {}
        if self
            .is_troubled(&mut stream, script, Stage::BodyRead)
            .await?
        {
            return Ok(());
        }
        link::send(
            &mut stream,
            &Frame::ResponseHead {
                status: 200,
                headers: Vec::new(),
            },
        )
        .await?;
        if self
            .is_troubled(&mut stream, script, Stage::AnswerBegun)
            .await?
        {
            return Ok(());
        }
        let (half, rest) = OWN.split_at(OWN.len() / 2);
        link::send(&mut stream, &Frame::ResponseBody(half.to_vec())).await?;
        if self
            .is_troubled(&mut stream, script, Stage::HalfAnswered)
            .await?
        {
            return Ok(());
        }
        link::send(&mut stream, &Frame::ResponseBody(rest.to_vec())).await?;
        if self
            .is_troubled(&mut stream, script, Stage::AllButTheEnd)
            .await?
        {
            return Ok(());
        }
        Ok(link::send(&mut stream, &Frame::ResponseEnd).await?)
    }
}
