package coralcove.platform.live;

import java.lang.reflect.Proxy;

/**
 * Installs handlers of operating system signals. The JDK offers them only in {@code sun.misc}, a
 * compile-time reference to which causes a warning that fails the build; the classes are therefore
 * used by reflection. Without a handler SIGTERM and SIGHUP would end the JVM.
 */
final class SignalHandlers {
    private SignalHandlers() {}

    /**
     * Runs an action on a separate thread each time the signal arrives.
     *
     * @param name the signal's name without SIG
     * @return false if this JVM does not support signal handlers
     */
    static boolean register(String name, Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            handlerClass.getClassLoader(),
                            new Class<?>[] {handlerClass},
                            (instance, method, arguments) ->
                                    switch (method.getName()) {
                                        case "handle" -> {
                                            action.run();
                                            yield null;
                                        }
                                        case "equals" -> instance == arguments[0];
                                        case "hashCode" -> System.identityHashCode(instance);
                                        default -> name;
                                    });
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(
                            null,
                            signalClass.getConstructor(String.class).newInstance(name),
                            proxy);
            return true;
        } catch (ReflectiveOperationException e) {
            return false;
        }
    }
}
