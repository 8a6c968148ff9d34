//! Drives the entry role with a scripted control instance and scripted agents.

#![expect(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_directory::digest_key;
use mulberrywell_entry::{EntryAction, EntryConfig, EntryRole};
use mulberrywell_role::{
    HttpEvent, HttpRequest, LinkCommand, LinkEvent, LinkId, ResponsePart, RoleAction, RoleEvent,
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

/// The response that a caller received so far.
#[derive(Debug, Clone, Default)]
pub struct CallerView {
    pub status: u16,
    pub headers: Vec<HeaderField>,
    pub body: String,
    /// `Some(true)` when complete, `Some(false)` when aborted.
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
    /// Frames that the role sent, oldest first.
    pub sent: Vec<(LinkId, FrameBody)>,
    pub callers: BTreeMap<u64, CallerView>,
    pub finished: bool,
    /// Whether the entry has refused the requests that were still being read.
    pub unread_refused: bool,
    /// Whether lease requests are granted at once.
    pub grants: bool,
    /// Tokens granted beyond the requested ones.
    pub extra_tokens: u64,
    /// Whether confirmation queries are answered.
    pub confirms: bool,
    /// Ports that refuse connections.
    pub refused_ports: Vec<u16>,
    pub links: BTreeMap<LinkId, u16>,
    pub version: u64,
    /// Cluster id of the scripted control instance.
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

pub fn endpoint(idx: u16, engine: bool) -> EndpointItem {
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
        software: bytes("v1"),
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

/// Builds the initial configuration; endpoints with even numbers are engines,
/// those with odd numbers plain services.
fn full_update() -> Update {
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
                route("HEAD", "/tickets", true, false),
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
    /// Starts an entry and sends it the configuration.
    pub fn ready() -> Self {
        Self::with_limit(None)
    }

    /// Starts a ready entry whose shutdown ends the remaining calls after `limit`.
    pub fn with_limit(limit: Option<Duration>) -> Self {
        let now = Instant::now();
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let config = EntryConfig {
            settings: EntrySettings {
                caller_listen: address(8_000),
                max_requests: 100,
                max_body: 1 << 20,
                caller_stall_timeout: Duration::from_secs(10),
                config_max_age: Duration::from_secs(5),
                default_deadline: Duration::from_secs(60),
                shutdown_grace: Duration::from_secs(2),
                shutdown_limit: limit,
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
            unread_refused: false,
            grants: true,
            extra_tokens: 0,
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
        entry.control(FrameBody::Update(full_update()));
        entry.advance(1_100);
        entry
    }

    /// Returns the port of the agent that a link was opened to.
    pub fn port_of(&self, link: LinkId) -> u16 {
        self.links[&link]
    }

    /// Sets the software version of the other engine than the one on a link.
    pub fn set_other_software(&mut self, link: LinkId, software: &str) {
        let port = self.port_of(link);
        let engines = [0, 2].map(|idx| endpoint(idx, true));
        let is_other = |item: &EndpointItem| !item.address.ends_with(port.to_string().as_bytes());
        let endpoints = engines.into_iter().filter(is_other);
        let endpoints = endpoints.map(|item| EndpointItem {
            software: bytes(software),
            ..item
        });
        let base = self.version;
        self.version += 1;
        self.control(FrameBody::Update(Update {
            base,
            version: self.version,
            cluster: self.cluster,
            endpoints: endpoints.collect(),
            ..Update::default()
        }));
    }

    pub fn event(&mut self, event: RoleEvent<HttpEvent>) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.role.handle(self.now, event, &mut actions);
            for action in actions {
                self.handle_action(action, &mut events);
            }
        }
    }

    fn handle_action(
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
                if let Some(reply) = self.scripted_reply(&body) {
                    events.push_back(RoleEvent::Link(LinkEvent::Frame { link, body: reply }));
                }
                self.sent.push((link, body));
            }
            RoleAction::Link(LinkCommand::Close { link }) => {
                self.closed.push(link);
                self.links.remove(&link);
                events.push_back(RoleEvent::Link(LinkEvent::Closed { link }));
            }
            RoleAction::RoleSpecific(EntryAction::Respond(id, part)) => self.record_part(id, part),
            RoleAction::RoleSpecific(EntryAction::RefuseUnread) => self.unread_refused = true,
            RoleAction::Finished => self.finished = true,
            _ => {}
        }
    }

    fn scripted_reply(&mut self, body: &FrameBody) -> Option<FrameBody> {
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
            FrameBody::LeaseRequest(request) if self.grants => Some(self.grant_for(request)),
            FrameBody::LeaseReturn(lease_return) => Some(FrameBody::ReturnAck(ReturnAck {
                account: lease_return.account.clone(),
                lease: lease_return.lease,
            })),
            _ => None,
        }
    }

    pub fn grant_for(&mut self, request: &LeaseRequest) -> FrameBody {
        self.next_lease += 1;
        FrameBody::LeaseGrant(LeaseGrant {
            sequence: request.sequence,
            account: request.account.clone(),
            lease: self.next_lease,
            tokens: request.tokens
                + if request.tokens > 0 {
                    self.extra_tokens
                } else {
                    0
                },
            lifetime_ms: 1_000,
            rate: 100,
            burst: BURST,
            retry_after_ms: if request.tokens == 0 { 200 } else { 0 },
            ..LeaseGrant::default()
        })
    }

    fn record_part(&mut self, request: u64, part: ResponsePart) {
        let view = self.callers.entry(request).or_default();
        assert!(view.ended.is_none(), "response part after the end");
        match part {
            ResponsePart::Head {
                status, headers, ..
            } => {
                assert_eq!(view.status, 0, "second response head");
                view.status = status;
                view.headers = headers;
            }
            ResponsePart::Data(data) => view.body.push_str(std::str::from_utf8(&data).unwrap()),
            ResponsePart::End => view.ended = Some(true),
            ResponsePart::Abort => view.ended = Some(false),
        }
    }

    pub fn advance(&mut self, millis: u64) {
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
        let found = self.links.iter().rev().find(|(_, linked)| **linked == port);
        *found.expect("no link to the port").0
    }

    pub fn close_link(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.event(RoleEvent::Link(LinkEvent::Closed { link }));
    }

    pub fn send_http(
        &mut self,
        method: &str,
        path: &str,
        headers: Vec<HeaderField>,
        body: &str,
    ) -> u64 {
        self.next_request += 1;
        let request = self.next_request;
        let http = HttpRequest {
            method: bytes(method),
            path: bytes(path),
            headers,
            body: bytes(body),
        };
        self.event(RoleEvent::RoleSpecific(HttpEvent::Request {
            request,
            http,
        }));
        request
    }

    pub fn send_with_key(
        &mut self,
        method: &str,
        path: &str,
        extra: &[(&str, &str)],
        body: &str,
    ) -> u64 {
        let mut headers = vec![field("Authorization", &format!("Bearer {KEY}"))];
        headers.extend(extra.iter().map(|(name, value)| field(name, value)));
        self.send_http(method, path, headers, body)
    }

    pub fn send_chat(&mut self, tokens: u64, stream: bool, extra: &[(&str, &str)]) -> u64 {
        let body = format!(
            "{{\"model\":\"m\",\"prompt\":\"\",\"max_tokens\":{tokens},\"stream\":{stream}}}"
        );
        self.send_with_key("POST", "/v1/completions", extra, &body)
    }

    pub fn send_ticket(&mut self, extra: &[(&str, &str)]) -> u64 {
        self.send_with_key("POST", "/services/queue-desk/tickets", extra, "t")
    }

    pub fn caller_view(&self, request: u64) -> CallerView {
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
        self.starts().pop().expect("no attempt was started")
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

    pub fn head_with_status(&mut self, link: LinkId, id: Option<AttemptId>, status: u32) {
        self.frame(
            link,
            FrameBody::AttemptHead(AttemptHead {
                id,
                status,
                headers: Vec::new(),
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
                crashed: false,
            }),
        );
    }

    /// Ends an attempt as the agent of an engine that crashed under it.
    pub fn crash(&mut self, link: LinkId, id: Option<AttemptId>) {
        self.frame(
            link,
            FrameBody::AttemptRefused(AttemptRefused {
                id,
                reason: RefusalReason::EngineDown.into(),
                ran: Ran::Unknown.into(),
                retry_after_ms: 0,
                crashed: true,
            }),
        );
    }

    /// Sends a complete response to the last started attempt.
    pub fn respond_to_last(&mut self, text: &str) {
        self.respond_with("text/plain", text);
    }

    /// Sends a complete response of a media type to the last started attempt.
    pub fn respond_with(&mut self, kind: &str, text: &str) {
        let (link, start) = self.last_start();
        self.head(link, start.id, kind);
        self.part(link, start.id, 0, text);
        self.end(link, start.id, text.len() as u64, 1);
    }
}
