package coralcove.sip.dialog;

import coralcove.sip.BadMessage;
import coralcove.sip.Core;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.Timers;

/** A core with one {@link Agent}: passes its inputs to the user agent and its timers. */
public abstract class AgentCore implements Core, Agent.User {
    protected final Timers timers = new Timers();
    protected final Agent agent;

    /**
     * {@code startTag} distinguishes the ids of this start from those of other nodes and starts.
     */
    protected AgentCore(Hop localAddress, String startTag) {
        agent = new Agent(localAddress, timers, startTag, this);
    }

    public final Agent agent() {
        return agent;
    }

    @Override
    public void receive(long now, Hop from, SipMessage message, Out out) {
        agent.receive(now, from, message, out);
    }

    @Override
    public void malformed(long now, Hop from, BadMessage problem, Out out) {
        agent.malformed(now, from, problem, out);
    }

    @Override
    public void broken(long now, Hop peer, boolean refused, Out out) {
        agent.broken(now, peer, refused, out);
    }

    @Override
    public void tick(long now, Out out) {
        timers.run(now, out);
    }

    @Override
    public long due() {
        return timers.nextDeadline();
    }
}
