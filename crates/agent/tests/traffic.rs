//! Flows from end to end through one traffic thread.

mod support;

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;

use smoltcp::socket::tcp;

use support::{Agent, Fabric, caller, settings};

/// A target that does `serve` with every connection, in a thread of its own.
fn target(serve: impl Fn(TcpStream) -> io::Result<()> + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream.unwrap()));
        }
    });
    addr
}

fn echo(mut stream: TcpStream) -> io::Result<()> {
    let mut from = stream.try_clone()?;
    io::copy(&mut from, &mut stream)?;
    stream.shutdown(Shutdown::Write)
}

fn answer_after_end(mut stream: TcpStream) -> io::Result<()> {
    let mut request = Vec::new();
    stream.read_to_end(&mut request)?;
    stream.write_all(&request)
}

struct Bed {
    fabric: Fabric,
    agent: Agent,
}

impl Bed {
    fn new(serve: impl Fn(TcpStream) -> io::Result<()> + Clone + Send + 'static) -> Self {
        let fabric = Fabric::new();
        let agent = Agent::start(&settings("rink-1", fabric.addr()));
        agent.serve(target(serve));
        Self { fabric, agent }
    }
}

/// Sends `request`, ends the caller's direction and returns the whole answer.
fn exchange(bed: &Bed, port: u16, request: &[u8]) -> Vec<u8> {
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
        client.is_finished() && bed.agent.figures.open() == 0
    });
    answer
}

fn body(len: usize) -> Vec<u8> {
    (0..=250).cycle().take(len).collect()
}

macro_rules! exchanges {
    ($($name:ident: $serve:expr, $len:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let bed = Bed::new($serve);
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
    nothing_is_echoed: echo, 0;
    an_answer_follows_the_callers_end: answer_after_end, 100_000;
}

#[test]
fn many_flows_share_the_thread() {
    let bed = Bed::new(echo);
    for port in 1..=50 {
        let request = body(usize::from(port) * 100);
        assert_eq!(exchange(&bed, 40_000 + port, &request), request);
    }
    bed.agent.stop();
}

#[test]
fn a_target_that_refuses_resets_the_caller() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let refusing = listener.local_addr().unwrap();
    drop(listener);
    let fabric = Fabric::new();
    let agent = Agent::start(&settings("rink-1", fabric.addr()));
    agent.serve(refusing);
    let mut client = caller(40_000);
    fabric.run(&mut client, agent.addr, |client| {
        client.state() == tcp::State::Closed
    });
    agent.stop();
}
