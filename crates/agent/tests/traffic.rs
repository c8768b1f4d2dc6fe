//! Flows from callers to a target through one traffic thread, over loopback sockets.

mod support;

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

use smoltcp::socket::tcp;
use socket2::{Domain, SockRef, Socket, Type};

use citronhollow_agent::link::{ControlCommand, TrafficCommand};
use citronhollow_caller::packet;
use citronhollow_core::clock::Millis;
use citronhollow_core::config::Refusal;
use citronhollow_core::members::TargetState;
use citronhollow_peer::Body;
use citronhollow_peer::message::Drain;
use support::{
    Agent, Fabric, HANG, body, caller, echo, eventually, reporting_target, settings, target,
};

fn answer_after_end(mut stream: TcpStream) -> io::Result<()> {
    let mut request = Vec::new();
    stream.read_to_end(&mut request)?;
    stream.write_all(&request)
}

struct TestBed {
    fabric: Fabric,
    agent: Agent,
}

impl TestBed {
    fn new(serve: impl Fn(TcpStream) -> io::Result<()> + Clone + Send + 'static) -> Self {
        Self::with_target(target(serve), Millis::from_secs(30))
    }

    fn with_target(target: SocketAddr, keepalive: Millis) -> Self {
        let fabric = Fabric::new();
        let mut settings = settings("rink-1", fabric.addr());
        settings.keepalive_ms = keepalive;
        let agent = Agent::start(&settings);
        agent.serve(target);
        Self { fabric, agent }
    }
}

/// Sends `request`, closes the caller's direction and returns the whole response.
fn exchange(bed: &TestBed, port: u16, request: &[u8]) -> Vec<u8> {
    let mut client = caller(port);
    let mut sent = 0;
    let mut answer = Vec::new();
    bed.fabric.run(&mut client, bed.agent.addr, |client| {
        if client.socket().may_send() {
            sent += client.send(&request[sent..]);
            if sent == request.len() {
                client.socket().close();
            }
        }
        answer.extend(client.recv());
        client.is_finished() && bed.agent.stats.open() == 0
    });
    answer
}

macro_rules! exchanges {
    ($($name:ident: $serve:expr, $len:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let bed = TestBed::new($serve);
                let request = body($len);
                assert_eq!(exchange(&bed, 40_000, &request), request);
                bed.agent.stop();
            }
        )*
    };
}

exchanges! {
    a_byte_is_echoed: echo, 1;
    a_long_body_is_echoed: echo, 300_000;
    an_empty_body_is_echoed: echo, 0;
    an_answer_follows_the_callers_end: answer_after_end, 100_000;
}

#[test]
fn many_flows_share_the_thread() {
    let bed = TestBed::new(echo);
    for port in 1..=50 {
        let request = body(usize::from(port) * 100);
        assert_eq!(exchange(&bed, 40_000 + port, &request), request);
    }
    bed.agent.stop();
}

#[test]
fn a_target_that_refuses_resets_the_caller() {
    // Bound, so that no other process gets the port, but not listening, so that connects fail.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).unwrap();
    let refusing = socket.local_addr().unwrap().as_socket().unwrap();
    let fabric = Fabric::new();
    let agent = Agent::start(&settings("rink-1", fabric.addr()));
    agent.serve(refusing);
    let mut client = caller(40_000);
    fabric.run(&mut client, agent.addr, |client| {
        client.state() == tcp::State::Closed
    });
    agent.stop();
}

/// Establishes a flow and sends one byte on it.
fn started(bed: &TestBed, port: u16) -> support::client::Client {
    let mut client = caller(port);
    let mut is_sent = false;
    bed.fabric.run(&mut client, bed.agent.addr, |client| {
        if client.socket().may_send() && !is_sent {
            is_sent = client.send(b"1") == 1;
        }
        let is_closed = client.state() == tcp::State::Closed;
        is_closed || is_sent && client.socket().send_queue() == 0
    });
    client
}

/// Guards against connections that stay open at the target after the caller has reset its flow.
#[test]
fn a_reset_of_the_caller_reaches_the_target() {
    let (target, ends) = reporting_target();
    let bed = TestBed::with_target(target, Millis::from_secs(30));
    let mut client = started(&bed, 40_000);
    client.socket().abort();
    bed.fabric.run(&mut client, bed.agent.addr, |_| true);
    let end = ends.recv_timeout(HANG).unwrap();
    assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    eventually("the flow's end", || bed.agent.stats.open() == 0);
    bed.agent.stop();
}

#[test]
fn a_reset_of_the_target_reaches_the_caller() {
    let bed = TestBed::new(|mut stream| {
        stream.read_exact(&mut [0; 1])?;
        SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO))
    });
    let mut client = started(&bed, 40_000);
    bed.fabric.run(&mut client, bed.agent.addr, |client| {
        client.state() == tcp::State::Closed
    });
    eventually("the flow's end", || bed.agent.stats.open() == 0);
    bed.agent.stop();
}

/// Guards against flows that stay open for ever when a caller vanishes without a FIN or RST.
/// Unanswered keepalive probes must end them.
#[test]
fn a_silent_caller_times_out_and_the_target_is_reset() {
    let (target, ends) = reporting_target();
    let bed = TestBed::with_target(target, Millis(200));
    let _client = started(&bed, 40_000);
    let end = ends.recv_timeout(HANG).unwrap();
    assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    eventually("the flow's end", || bed.agent.stats.open() == 0);
    bed.agent.stop();
}

/// Guards against a drain that cuts open flows, or that lets new ones in.
#[test]
fn a_draining_target_finishes_its_flows_and_takes_no_new_one() {
    let bed = TestBed::new(echo);
    let mut old = started(&bed, 40_000);
    bed.agent
        .command(TrafficCommand::State(TargetState::Draining));
    let mut new = caller(40_001);
    bed.fabric.run(&mut new, bed.agent.addr, |client| {
        client.state() == tcp::State::Closed
    });
    assert_eq!(bed.agent.stats.open(), 1);
    old.socket().close();
    let mut answer = Vec::new();
    bed.fabric.run(&mut old, bed.agent.addr, |client| {
        answer.extend(client.recv());
        client.is_finished() && bed.agent.stats.open() == 0
    });
    assert_eq!(answer, b"1");
    bed.agent.stop();
}

/// Guards against a refused request that was processed all the same: the agent answers it with 503,
/// and the target must not see a connection.
#[test]
fn a_refused_caller_gets_503_without_the_target() {
    let (target, ends) = reporting_target();
    let fabric = Fabric::new();
    let agent = Agent::start(&settings("rink-1", fabric.addr()));
    let record = agent.record(TargetState::Draining);
    agent.configure(target, vec![record], Refusal::Unavailable);
    agent.command(TrafficCommand::State(TargetState::Draining));
    let mut client = caller(40_000);
    let mut is_sent = false;
    let mut answer = Vec::new();
    fabric.run(&mut client, agent.addr, |client| {
        if client.socket().may_send() && !is_sent {
            is_sent = client.send(b"POST /cards HTTP/1.1\r\nHost: desk\r\n\r\n") > 0;
        }
        answer.extend(client.recv());
        client.is_finished()
    });
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("\r\nRetry-After: "), "{answer}");
    assert_eq!(agent.stats.open(), 0);
    assert!(ends.try_recv().is_err());
    agent.stop();
}

#[test]
fn a_drain_reaches_the_control_thread() {
    let mut bed = TestBed::new(echo);
    let drain = Body::Drain(Drain { on: true });
    bed.fabric.send_body(bed.agent.addr, drain);
    let expected = ControlCommand::Drain {
        on: true,
        reply_to: bed.fabric.addr(),
    };
    assert_eq!(bed.agent.control.blocking_recv(), Some(expected));
    bed.agent.stop();
}

#[test]
fn bad_datagrams_are_counted_and_harm_nothing() {
    let bed = TestBed::new(echo);
    bed.fabric.send_raw(bed.agent.addr, b"");
    bed.fabric.send_raw(bed.agent.addr, &[1; 64]);
    bed.fabric.send_raw(bed.agent.addr, &[1; 1_600]);
    bed.fabric.forward(bed.agent.addr, b"no packet");
    eventually("the count", || bed.agent.stats.malformed() == 4);
    assert_eq!(exchange(&bed, 40_000, b"card"), b"card");
    bed.agent.stop();
}

/// Responds without reading the request, which makes the target's kernel reset the connection.
fn answer_unread(mut stream: TcpStream) -> io::Result<()> {
    stream.peek(&mut [0; 1])?;
    stream.write_all(&body(30_000))
}

/// Guards against a truncated response: a target that responds without reading its request resets
/// the connection, and the bytes sent before must still reach the caller, followed by a reset.
#[test]
fn a_response_before_a_reset_is_delivered_whole() {
    let bed = TestBed::new(answer_unread);
    let mut client = caller(40_000);
    let mut is_sent = false;
    let mut answer = Vec::new();
    bed.fabric.run(&mut client, bed.agent.addr, |client| {
        if client.socket().may_send() && !is_sent {
            is_sent = client.send(b"1") == 1;
        }
        answer.extend(client.recv());
        client.state() == tcp::State::Closed
    });
    assert!(answer == body(30_000), "bytes differ");
    assert!(
        !client.is_finished(),
        "the reset looks like an end in order"
    );
    bed.agent.stop();
}

fn answer_and_end(mut stream: TcpStream) -> io::Result<()> {
    stream.write_all(b"board")?;
    stream.shutdown(std::net::Shutdown::Write)?;
    stream.read_to_end(&mut Vec::new()).map(drop)
}

/// Guards against a caller that stays in LAST-ACK: if the acknowledgement of its FIN was lost, it
/// retransmits the FIN after the agent has closed the flow.
#[test]
fn a_retransmitted_fin_is_acknowledged() {
    let bed = TestBed::new(answer_and_end);
    let mut client = caller(40_000);
    let mut end = None;
    let agent = bed.agent.addr;
    let record_fin = |sent: &[u8]| {
        let is_end = packet::parse(sent).unwrap().segment.fin;
        end = is_end.then(|| sent.to_vec()).or(end.take());
        agent
    };
    bed.fabric.run_via(&mut client, record_fin, |client| {
        client.recv();
        if client.is_finished() {
            client.socket().close();
        }
        client.state() == tcp::State::Closed
    });
    eventually("the flow's end", || bed.agent.stats.open() == 0);
    while bed.fabric.recv().is_some() {}
    let end = end.unwrap();
    bed.fabric.forward(agent, &end);
    let mut answer = None;
    eventually("the answer", || {
        answer = bed.fabric.recv();
        answer.is_some()
    });
    let sent = packet::parse(&end).unwrap().segment;
    let answer = packet::parse_verified(&answer.unwrap()).unwrap().segment;
    assert!(answer.ack && !answer.rst);
    assert_eq!(answer.ack_seq, sent.seq.wrapping_add(sent.payload + 1));
    bed.agent.stop();
}
