//! Running a stand-in as a process of its own, for tests.

use {
    super::{
        flags::Standin,
        print::line, //
    },
    crate::errors::Error,
    operators::post,
    policy::Span,
    standins::{
        engine, plain,
        platform::{
            self,
            Instance,
            Role,
            State, //
        },
    },
    std::{
        fs,
        future::pending,
        io,
        net::SocketAddr, //
    },
};

/// Runs a stand-in until the process is killed.
pub(crate) async fn standin(flags: &Standin) -> Result<(), Error> {
    match flags.kind.as_str() {
        "platform" => {
            let handle = platform::start(platform_options(flags)).await;
            let handle = handle.map_err(listen_error)?;
            handle.put_instances(instances(flags)?);
            line(format!("listening {} admin {}", handle.addr, handle.admin))?;
            pending().await
        }
        "engine" => {
            let handle = engine::start(engine_options(flags)).await;
            let handle = handle.map_err(listen_error)?;
            register(flags, handle.addr).await?;
            line(format!("listening {}", handle.addr))?;
            pending().await
        }
        "plain" => {
            let handle = plain::start(plain_options(flags)).await;
            let handle = handle.map_err(listen_error)?;
            register(flags, handle.addr).await?;
            line(format!("listening {}", handle.addr))?;
            pending().await
        }
        other => Err(Error::Usage(
            format!("there is no stand-in `{other}`"),
            "give `platform`, `engine` or `plain`".to_owned(),
        )),
    }
}

fn listen_error(error: io::Error) -> Error {
    Error::Io("the stand-in can't listen at its address", error)
}

fn platform_options(flags: &Standin) -> platform::Options {
    let default = platform::Options::default();
    platform::Options {
        addr: flags.listen,
        admin: flags.admin.unwrap_or(default.admin),
        lag: flags.lag.unwrap_or(Span::ZERO).into(),
    }
}

fn engine_options(flags: &Standin) -> engine::Opts {
    let default = engine::Opts::default();
    engine::Opts {
        addr: flags.listen,
        capacity: flags.capacity.unwrap_or(default.capacity),
        first: flags.first.map_or(default.first, Into::into),
        gap: flags.gap.map_or(default.gap, Into::into),
        ..default
    }
}

fn plain_options(flags: &Standin) -> plain::Opts {
    plain::Opts {
        addr: flags.listen,
        work: flags.work.unwrap_or(Span::ZERO).into(),
    }
}

fn instances(flags: &Standin) -> Result<Vec<Instance>, Error> {
    let Some(file) = &flags.instances else {
        return Ok(Vec::new());
    };
    let text = fs::read_to_string(file).map_err(|e| Error::Io("--instances", e))?;
    serde_json::from_str(&text).map_err(|e| Error::Io("--instances", e.into()))
}

/// Puts an endpoint on the platform's list.
async fn register(flags: &Standin, addr: SocketAddr) -> Result<(), Error> {
    let Some(admin) = flags.register else {
        return Ok(());
    };
    let (Some(service), Some(zone)) = (&flags.service, &flags.zone) else {
        return Err(Error::Usage(
            "--register needs the endpoint's service and zone".to_owned(),
            "give --service and --zone too".to_owned(),
        ));
    };
    let instance = Instance {
        name: addr.to_string(),
        role: Role::Endpoint,
        service: Some(service.to_string()),
        addr,
        callers: None,
        zone: zone.to_string(),
        state: State::Live,
    };
    let json = serde_json::to_string(&[instance]).map_err(|e| Error::Io("JSON", e.into()))?;
    let posted = post(admin, "/admin/instances", json).await;
    posted.map_err(|e| {
        Error::Failed(
            format!("the endpoint can't be put on the platform's list: {e}"),
            "give --register the platform's --admin address".to_owned(),
        )
    })?;
    Ok(())
}
