//! Drives the entry role with a scripted control instance and scripted agents.

#![expect(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_directory::digest_key;
use mulberrywell_entry::{EntryAction, EntryConfig, EntryRole};
use mulberrywell_role::{
    AnswerPart, HttpEvent, HttpRequest, LinkCommand, LinkEvent, LinkId, RoleAction, RoleEvent,
    RoleMachine,
};
use mulberrywell_settings::EntrySettings;
use mulberrywell_wire::config::{
    AccountItem, ConfirmAnswer, EndpointItem, EndpointState, GrantItem, KeyItem, ModelItem,
    PlanItem, RouteItem, ServiceItem, Update,
};
use mulberrywell_wire::link::PeerRole;
use mulberrywell_wire::rate::{LeaseGrant, LeaseRequest, ReturnAck};
use mulberrywell_wire::request::{
    AttemptEnd, AttemptHead, AttemptId, AttemptPart, AttemptRefused, AttemptStart, HeaderField,
    Ran, RefusalReason,
};
use mulberrywell_wire::{FrameBody, PeerIdentity};

pub const KEY: &str = "mw-key-of-the-scripted-caller";
pub const CONTROL_PORT: u16 = 9_000;
pub const BURST: u64 = 1_000;

/// What a caller has got.
#[derive(Debug, Clone, Default)]
pub struct CallerView {
    pub status: u16,
    pub headers: Vec<HeaderField>,
    pub body: String,
    /// `Some(true)` when whole, `Some(false)` when cut.
    pub ended: Option<bool>,
}

impl CallerView {
    pub fn header(&self, name: &str) -> String {
        mulberrywell_role::header_value(&self.headers, name)
            .map(|value| String::from_utf8_lossy(value).into_owned())
            .unwrap_or_default()
    }

    pub fn ran(&self) -> String {
        self.header("Mulberrywell-Ran")
    }
}

pub struct ScriptedEntry {
    pub role: EntryRole,
    pub now: Instant,
    /// Frames that the role sent, oldest first, without configuration frames.
    pub sent: Vec<(LinkId, FrameBody)>,
    pub callers: BTreeMap<u64, CallerView>,
    pub finished: bool,
    /// Grants each lease request as it comes.
    pub grants: bool,
    /// Tokens granted beyond those asked for.
    pub extra: u64,
    /// Answers confirmation queries.
    pub confirms: bool,
    /// Ports that refuse connections.
    pub refused_ports: Vec<u16>,
    pub links: BTreeMap<LinkId, u16>,
    pub version: u64,
    /// Identity that the scripted control instance claims.
    pub cluster: u64,
    /// Links that the entry closed.
    pub closed: Vec<LinkId>,
    next_lease: u64,
    next_request: u64,
}

pub fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

pub fn field(name: &str, value: &str) -> HeaderField {
    HeaderField {
        name: bytes(name),
        value: bytes(value),
    }
}

fn endpoint(idx: u16, engine: bool) -> EndpointItem {
    EndpointItem {
        name: bytes(&format!("endpoint-{idx}")),
        address: bytes(&format!("127.0.0.1:{}", 9_100 + idx)),
        zone: bytes("oslo-a"),
        region: bytes("oslo"),
        pool: bytes(if engine { "summariser" } else { "queue-desk" }),
        engine,
        incarnation: 1,
        fencing: 0,
        state: EndpointState::Live.into(),
        resident: if engine { vec![bytes("m")] } else { vec![] },
    }
}

fn route(method: &str, path: &str, idempotent: bool, open: bool) -> RouteItem {
    RouteItem {
        method: bytes(method),
        path: bytes(path),
        idempotent,
        open,
        tokens: 10,
    }
}

/// Engines have even numbers, services odd ones.
fn whole_update() -> Update {
    Update {
        version: 1,
        whole: true,
        cluster: 7,
        plans: vec![PlanItem {
            name: bytes("gold"),
            rate: 100,
            burst: BURST,
            weight: 1,
            priority: 0,
        }],
        accounts: vec![AccountItem {
            name: bytes("bank"),
            plan: bytes("gold"),
        }],
        keys: vec![KeyItem {
            digest: digest_key(KEY.as_bytes()),
            account: bytes("bank"),
            label: bytes("k"),
        }],
        models: vec![ModelItem {
            name: bytes("m"),
            pool: bytes("summariser"),
            ..ModelItem::default()
        }],
        services: vec![ServiceItem {
            name: bytes("queue-desk"),
            routes: vec![
                route("POST", "/tickets", false, false),
                route("GET", "/tickets", true, false),
                route("GET", "/open", true, true),
            ],
        }],
        grants: vec![GrantItem {
            plan: bytes("gold"),
            models: vec![bytes("m")],
            services: vec![bytes("queue-desk")],
        }],
        endpoints: (0..4).map(|idx| endpoint(idx, idx % 2 == 0)).collect(),
        ..Update::default()
    }
}

impl ScriptedEntry {
    /// Starts an entry that has its configuration.
    pub fn ready() -> Self {
        let now = Instant::now();
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let config = EntryConfig {
            settings: EntrySettings {
                caller_listen: address(8_000),
                max_requests: 100,
                max_body: 1 << 20,
                caller_stall: Duration::from_secs(10),
                freshness: Duration::from_secs(5),
                default_deadline: Duration::from_secs(60),
                shutdown_grace: Duration::from_secs(2),
                default_output: 100,
            },
            seeds: vec![address(CONTROL_PORT)],
            incarnation: 77,
            zone: bytes("oslo-a"),
        };
        let mut entry = ScriptedEntry {
            role: EntryRole::new(config, now),
            now,
            sent: Vec::new(),
            callers: BTreeMap::new(),
            finished: false,
            grants: true,
            extra: 0,
            confirms: true,
            refused_ports: Vec::new(),
            links: BTreeMap::new(),
            version: 1,
            cluster: 7,
            closed: Vec::new(),
            next_lease: 0,
            next_request: 0,
        };
        entry.event(RoleEvent::Timer);
        entry.control(FrameBody::Update(whole_update()));
        entry.pass(1_100);
        entry
    }

    pub fn event(&mut self, event: RoleEvent<HttpEvent>) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.role.handle(self.now, event, &mut actions);
            for action in actions {
                self.take_action(action, &mut events);
            }
        }
    }

    fn take_action(
        &mut self,
        action: RoleAction<EntryAction>,
        events: &mut VecDeque<RoleEvent<HttpEvent>>,
    ) {
        match action {
            RoleAction::Link(LinkCommand::Dial { link, address }) => {
                if self.refused_ports.contains(&address.port()) {
                    events.push_back(RoleEvent::Link(LinkEvent::Closed { link }));
                    return;
                }
                self.links.insert(link, address.port());
                let peer = PeerIdentity {
                    role: PeerRole::Agent,
                    instance: bytes("peer"),
                    incarnation: 1,
                    zone: bytes("oslo-a"),
                };
                events.push_back(RoleEvent::Link(LinkEvent::Opened { link, peer }));
            }
            RoleAction::Link(LinkCommand::Send { link, body }) => {
                if let Some(reply) = self.auto_reply(&body) {
                    events.push_back(RoleEvent::Link(LinkEvent::Frame { link, body: reply }));
                }
                self.sent.push((link, body));
            }
            RoleAction::Link(LinkCommand::Close { link }) => {
                self.closed.push(link);
                self.links.remove(&link);
                events.push_back(RoleEvent::Link(LinkEvent::Closed { link }));
            }
            RoleAction::Own(EntryAction::Answer(request, part)) => self.take_part(request, part),
            RoleAction::Finished => self.finished = true,
            _ => {}
        }
    }

    fn auto_reply(&mut self, body: &FrameBody) -> Option<FrameBody> {
        match body {
            FrameBody::ConfirmQuery(query) if self.confirms => {
                Some(FrameBody::ConfirmAnswer(ConfirmAnswer {
                    sequence: query.sequence,
                    version: self.version,
                    confirmed: true,
                    age_ms: 0,
                    cluster: self.cluster,
                }))
            }
            FrameBody::LeaseRequest(ask) if self.grants => Some(self.grant_of(ask)),
            FrameBody::LeaseReturn(back) => Some(FrameBody::ReturnAck(ReturnAck {
                account: back.account.clone(),
                lease: back.lease,
            })),
            _ => None,
        }
    }

    fn grant_of(&mut self, ask: &LeaseRequest) -> FrameBody {
        self.next_lease += 1;
        FrameBody::LeaseGrant(LeaseGrant {
            sequence: ask.sequence,
            account: ask.account.clone(),
            lease: self.next_lease,
            tokens: ask.tokens + if ask.tokens > 0 { self.extra } else { 0 },
            lifetime_ms: 1_000,
            rate: 100,
            burst: BURST,
            retry_after_ms: if ask.tokens == 0 { 200 } else { 0 },
            ..LeaseGrant::default()
        })
    }

    fn take_part(&mut self, request: u64, part: AnswerPart) {
        let view = self.callers.entry(request).or_default();
        assert!(view.ended.is_none(), "a part after the end");
        match part {
            AnswerPart::Head {
                status, headers, ..
            } => {
                assert_eq!(view.status, 0, "a second head");
                view.status = status;
                view.headers = headers;
            }
            AnswerPart::Data(data) => view.body.push_str(std::str::from_utf8(&data).unwrap()),
            AnswerPart::End => view.ended = Some(true),
            AnswerPart::Abort => view.ended = Some(false),
        }
    }

    pub fn pass(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(at) = self.role.deadline().filter(|at| *at <= end) {
            self.now = at.max(self.now + Duration::from_millis(1));
            self.event(RoleEvent::Timer);
        }
        self.now = self.now.max(end);
        self.event(RoleEvent::Timer);
    }

    pub fn frame(&mut self, link: LinkId, body: FrameBody) {
        self.event(RoleEvent::Link(LinkEvent::Frame { link, body }));
    }

    pub fn control(&mut self, body: FrameBody) {
        let link = self.link_to(CONTROL_PORT);
        self.frame(link, body);
    }

    pub fn update(&mut self, change: impl FnOnce(&mut Update)) {
        let mut update = Update {
            base: self.version,
            version: self.version + 1,
            cluster: self.cluster,
            ..Update::default()
        };
        change(&mut update);
        self.version += 1;
        self.control(FrameBody::Update(update));
    }

    pub fn link_to(&self, port: u16) -> LinkId {
        let found = self.links.iter().rev().find(|(_, known)| **known == port);
        *found.expect("a link to the port").0
    }

    pub fn cut(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.event(RoleEvent::Link(LinkEvent::Closed { link }));
    }

    pub fn http(&mut self, method: &str, path: &str, headers: Vec<HeaderField>, body: &str) -> u64 {
        self.next_request += 1;
        let request = self.next_request;
        let http = HttpRequest {
            method: bytes(method),
            path: bytes(path),
            headers,
            body: bytes(body),
        };
        self.event(RoleEvent::Own(HttpEvent::Request { request, http }));
        request
    }

    pub fn keyed(&mut self, method: &str, path: &str, extra: &[(&str, &str)], body: &str) -> u64 {
        let mut headers = vec![field("Authorization", &format!("Bearer {KEY}"))];
        headers.extend(extra.iter().map(|(name, value)| field(name, value)));
        self.http(method, path, headers, body)
    }

    pub fn chat(&mut self, tokens: u64, stream: bool, extra: &[(&str, &str)]) -> u64 {
        let body = format!(
            "{{\"model\":\"m\",\"prompt\":\"\",\"max_tokens\":{tokens},\"stream\":{stream}}}"
        );
        self.keyed("POST", "/v1/completions", extra, &body)
    }

    pub fn ticket(&mut self, extra: &[(&str, &str)]) -> u64 {
        self.keyed("POST", "/services/queue-desk/tickets", extra, "t")
    }

    pub fn caller(&self, request: u64) -> CallerView {
        self.callers.get(&request).cloned().unwrap_or_default()
    }

    /// Returns all started attempts with their links.
    pub fn starts(&self) -> Vec<(LinkId, AttemptStart)> {
        let starts = self.sent.iter().filter_map(|(link, body)| match body {
            FrameBody::AttemptStart(start) => Some((*link, start.clone())),
            _ => None,
        });
        starts.collect()
    }

    pub fn last_start(&self) -> (LinkId, AttemptStart) {
        self.starts().pop().expect("an attempt was started")
    }

    pub fn cancels(&self) -> usize {
        let cancels =
            |(_, body): &&(LinkId, FrameBody)| matches!(body, FrameBody::AttemptCancel(_));
        self.sent.iter().filter(cancels).count()
    }

    pub fn head(&mut self, link: LinkId, id: Option<AttemptId>, kind: &str) {
        self.frame(
            link,
            FrameBody::AttemptHead(AttemptHead {
                id,
                status: 200,
                headers: vec![field("Content-Type", kind)],
            }),
        );
    }

    pub fn part(&mut self, link: LinkId, id: Option<AttemptId>, offset: u64, data: &str) {
        let data = bytes(data);
        self.frame(
            link,
            FrameBody::AttemptPart(AttemptPart { id, offset, data }),
        );
    }

    pub fn end(&mut self, link: LinkId, id: Option<AttemptId>, length: u64, tokens: u64) {
        self.frame(
            link,
            FrameBody::AttemptEnd(AttemptEnd {
                id,
                length,
                whole: true,
                ran: Ran::Yes.into(),
                tokens,
            }),
        );
    }

    pub fn refuse(&mut self, link: LinkId, id: Option<AttemptId>, reason: RefusalReason, ran: Ran) {
        self.frame(
            link,
            FrameBody::AttemptRefused(AttemptRefused {
                id,
                reason: reason.into(),
                ran: ran.into(),
                retry_after_ms: 0,
            }),
        );
    }

    /// Answers the last started attempt whole.
    pub fn answer_last(&mut self, text: &str) {
        let (link, start) = self.last_start();
        self.head(link, start.id, "text/plain");
        self.part(link, start.id, 0, text);
        self.end(link, start.id, text.len() as u64, 1);
    }
}
