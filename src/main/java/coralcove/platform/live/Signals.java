package coralcove.platform.live;

import java.lang.reflect.Proxy;

/**
 * Handlers of SIGTERM and SIGHUP. The JDK offers them in sun.misc only, which a build that takes
 * warnings for errors cannot name; it is reached by its name at run time. Without a handler the JVM
 * would end on either.
 */
final class Signals {
    private Signals() {}

    /**
     * Runs {@code act} on a thread of its own at each such signal; false where the JVM has no way
     * to.
     */
    static boolean on(String name, Runnable act) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, args) ->
                                    switch (method.getName()) {
                                        case "handle" -> {
                                            act.run();
                                            yield null;
                                        }
                                        case "equals" -> self == args[0];
                                        case "hashCode" -> System.identityHashCode(self);
                                        default -> name;
                                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
            return true;
        } catch (ReflectiveOperationException e) {
            return false;
        }
    }
}
