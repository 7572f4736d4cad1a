import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.Handle;
import org.objectweb.asm.Label;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;

/**
 * A step of the build: turns each lambda and method reference of the compiled classes into a small class of its own,
 * and writes out what records have by themselves.
 *
 * <p>As javac leaves them, each is linked where it is first met: some hundred calls in the interpreter, whatever the
 * archive of classes holds; a record's equals is put together from a dozen classes made on the spot, which no archive
 * takes at all. Classes come from the archive at a tenth of that. Nothing else of the program changes: the
 * new classes are members of the same nest, so that they may call what is private, and those that capture nothing have
 * one instance, as before.
 *
 * <p>Arguments: the directory of classes, then the packages below it that are left as they are, as they take no part in
 * serving. Classes that were turned before are left alone. Run from source; ASM must be on the class path.
 */
public final class Unlambda implements Opcodes {
    private static final String FACTORY = "java/lang/invoke/LambdaMetafactory";
    private static final String RECORDS = "java/lang/runtime/ObjectMethods";
    /** Between the name of a class and the number of a lambda in it. */
    private static final String MARK = "$$L";

    private final Path root;
    /** New members of nests, by the nest's host. */
    private final Map<String, List<String>> members = new HashMap<>();
    private final Map<String, byte[]> written = new TreeMap<>();

    private Unlambda(Path root) {
        this.root = root;
    }

    /** Runs it. */
    public static void main(String[] args) throws IOException {
        var run = new Unlambda(Path.of(args[0]));
        List<Path> all;
        try (Stream<Path> files = Files.walk(run.root)) {
            all = files.filter(f -> f.toString().endsWith(".class")).sorted().toList();
        }
        for (Path file : all) {
            String name = run.root.relativize(file).toString().replace('\\', '/');
            if (Stream.of(args).skip(1).noneMatch(left -> name.startsWith(left + "/"))) {
                run.turn(file);
            }
        }
        for (var host : run.members.entrySet()) {
            run.join(host.getKey(), host.getValue());
        }
        for (var made : run.written.entrySet()) {
            Files.write(run.root.resolve(made.getKey() + ".class"), made.getValue());
        }
    }

    private void turn(Path file) throws IOException {
        var reader = new ClassReader(Files.readAllBytes(file));
        var writer = new ClassWriter(0);
        var turning = new Turning(writer);
        reader.accept(turning, 0);
        if (turning.count > 0 || !turning.records.isEmpty()) {
            written.put(reader.getClassName(), writer.toByteArray());
        }
    }

    /** Adds members to a nest, whose host lists them. */
    private void join(String host, List<String> added) throws IOException {
        byte[] before = written.get(host);
        var reader = new ClassReader(before != null ? before : Files.readAllBytes(root.resolve(host + ".class")));
        var writer = new ClassWriter(0);
        reader.accept(new ClassVisitor(ASM9, writer) {
            @Override
            public void visitEnd() {
                added.forEach(this::visitNestMember);
                super.visitEnd();
            }
        }, 0);
        written.put(host, writer.toByteArray());
    }

    /** Passes a class on, with a call in the place of each lambda. */
    private final class Turning extends ClassVisitor {
        private String name;
        private String nest;
        private int count;
        private final List<OfRecord> records = new ArrayList<>();

        Turning(ClassVisitor next) {
            super(ASM9, next);
        }

        @Override
        public void visit(int version, int access, String itsName, String signature, String parent,
                String[] interfaces) {
            name = itsName;
            nest = itsName;
            super.visit(version, access, itsName, signature, parent, interfaces);
        }

        @Override
        public void visitEnd() {
            records.forEach(r -> r.write(cv));
            super.visitEnd();
        }

        @Override
        public void visitNestHost(String host) {
            nest = host;
            super.visitNestHost(host);
        }

        @Override
        public MethodVisitor visitMethod(int access, String method, String descriptor, String signature,
                String[] thrown) {
            return new MethodVisitor(ASM9, super.visitMethod(access, method, descriptor, signature, thrown)) {
                @Override
                public void visitInvokeDynamicInsn(String called, String shape, Handle bootstrap, Object... with) {
                    if (bootstrap.getOwner().equals(FACTORY) && bootstrap.getName().equals("metafactory")) {
                        String made = name + MARK + count++;
                        members.computeIfAbsent(nest, n -> new ArrayList<>()).add(made);
                        written.put(made, new Lambda(made, nest, called, Type.getMethodType(shape), (Type) with[0],
                                (Handle) with[1], (Type) with[2]).bytes());
                        visitMethodInsn(INVOKESTATIC, made, "of", shape, false);
                    } else if (bootstrap.getOwner().equals(RECORDS)) {
                        records.add(new OfRecord(called, shape, (Type) with[0], ((String) with[1]).split(";"),
                                List.of(with).subList(2, with.length).stream().map(Handle.class::cast).toList()));
                        visitMethodInsn(INVOKESTATIC, name, OfRecord.PREFIX + called, shape, false);
                    } else {
                        super.visitInvokeDynamicInsn(called, shape, bootstrap, with);
                    }
                }
            };
        }
    }

    /**
     * What a record has without writing it, as javac leaves it to be put together as the program runs.
     *
     * @param called equals, hashCode or toString
     * @param shape  takes the record, and for equals anything
     * @param fields the record's components, in order
     */
    private record OfRecord(String called, String shape, Type record, String[] names, List<Handle> fields) {
        static final String PREFIX = "record$";
        private static final int MOST_STACK = 6;

        void write(ClassVisitor writer) {
            MethodVisitor to = writer.visitMethod(ACC_PRIVATE | ACC_STATIC | ACC_SYNTHETIC, PREFIX + called, shape,
                    null, null);
            to.visitCode();
            switch (called) {
                case "equals" -> equal(to);
                case "hashCode" -> hash(to);
                default -> text(to);
            }
            to.visitMaxs(MOST_STACK, called.equals("equals") ? 2 : 1);
            to.visitEnd();
        }

        private void get(MethodVisitor to, int from, Handle field) {
            to.visitVarInsn(ALOAD, from);
            if (from > 0) {
                to.visitTypeInsn(CHECKCAST, record.getInternalName());
            }
            to.visitFieldInsn(GETFIELD, field.getOwner(), field.getName(), field.getDesc());
        }

        private void equal(MethodVisitor to) {
            var differ = new Label();
            var other = new Label();
            to.visitVarInsn(ALOAD, 0);
            to.visitVarInsn(ALOAD, 1);
            to.visitJumpInsn(IF_ACMPNE, other);
            to.visitInsn(ICONST_1);
            to.visitInsn(IRETURN);
            to.visitLabel(other);
            to.visitFrame(F_SAME, 0, null, 0, null);
            to.visitVarInsn(ALOAD, 1);
            to.visitTypeInsn(INSTANCEOF, record.getInternalName());
            to.visitJumpInsn(IFEQ, differ);
            for (Handle field : fields) {
                get(to, 0, field);
                get(to, 1, field);
                Type type = Type.getType(field.getDesc());
                if (!Lambda.primitive(type)) {
                    to.visitMethodInsn(INVOKESTATIC, "java/util/Objects", "equals",
                            "(Ljava/lang/Object;Ljava/lang/Object;)Z", false);
                    to.visitJumpInsn(IFEQ, differ);
                } else if (type.getSort() <= Type.INT) {
                    to.visitJumpInsn(IF_ICMPNE, differ);
                } else { // as the JDK compares them: what is no number equals itself
                    to.visitMethodInsn(INVOKESTATIC, Lambda.box(type), "compare", "(" + type + type + ")I", false);
                    to.visitJumpInsn(IFNE, differ);
                }
            }
            to.visitInsn(ICONST_1);
            to.visitInsn(IRETURN);
            to.visitLabel(differ);
            to.visitFrame(F_SAME, 0, null, 0, null);
            to.visitInsn(ICONST_0);
            to.visitInsn(IRETURN);
        }

        private void hash(MethodVisitor to) {
            to.visitInsn(ICONST_0);
            for (Handle field : fields) {
                to.visitIntInsn(BIPUSH, 31);
                to.visitInsn(IMUL);
                get(to, 0, field);
                Type type = Type.getType(field.getDesc());
                boolean number = Lambda.primitive(type);
                to.visitMethodInsn(INVOKESTATIC, number ? Lambda.box(type) : "java/util/Objects", "hashCode",
                        "(" + (number ? type.getDescriptor() : "Ljava/lang/Object;") + ")I", false);
                to.visitInsn(IADD);
            }
            to.visitInsn(IRETURN);
        }

        private void text(MethodVisitor to) {
            String builder = "java/lang/StringBuilder";
            String simple = record.getInternalName().substring(record.getInternalName().lastIndexOf('/') + 1);
            to.visitTypeInsn(NEW, builder);
            to.visitInsn(DUP);
            to.visitLdcInsn(simple.substring(simple.lastIndexOf('$') + 1).replaceFirst("^[0-9]+", "") + "[");
            to.visitMethodInsn(INVOKESPECIAL, builder, "<init>", "(Ljava/lang/String;)V", false);
            for (int i = 0; i < fields.size(); i++) {
                to.visitLdcInsn((i == 0 ? "" : ", ") + names[i] + "=");
                to.visitMethodInsn(INVOKEVIRTUAL, builder, "append", "(Ljava/lang/String;)L" + builder + ";", false);
                get(to, 0, fields.get(i));
                Type type = Type.getType(fields.get(i).getDesc());
                String as = !Lambda.primitive(type) ? "Ljava/lang/Object;"
                        : type.getSort() == Type.BYTE || type.getSort() == Type.SHORT ? "I" : type.getDescriptor();
                to.visitMethodInsn(INVOKEVIRTUAL, builder, "append", "(" + as + ")L" + builder + ";", false);
            }
            to.visitLdcInsn("]");
            to.visitMethodInsn(INVOKEVIRTUAL, builder, "append", "(Ljava/lang/String;)L" + builder + ";", false);
            to.visitMethodInsn(INVOKEVIRTUAL, builder, "toString", "()Ljava/lang/String;", false);
            to.visitInsn(ARETURN);
        }
    }

    /**
     * A class for one lambda.
     *
     * @param method  the interface's one method, by its name
     * @param shape   what is captured, and the interface
     * @param erased  the method's type as the interface has it
     * @param calls   what it does
     * @param precise the method's type as it is used here
     */
    private record Lambda(String name, String nest, String method, Type shape, Type erased, Handle calls,
            Type precise) {
        byte[] bytes() {
            var writer = new ClassWriter(ClassWriter.COMPUTE_MAXS);
            writer.visit(V17, ACC_FINAL | ACC_SUPER | ACC_SYNTHETIC, name, null, "java/lang/Object",
                    new String[] {shape.getReturnType().getInternalName()});
            writer.visitNestHost(nest);
            Type[] captured = shape.getArgumentTypes();
            for (int i = 0; i < captured.length; i++) {
                writer.visitField(ACC_PRIVATE | ACC_FINAL, "c" + i, captured[i].getDescriptor(), null, null).visitEnd();
            }
            constructor(writer, captured);
            factory(writer, captured);
            act(writer, captured);
            writer.visitEnd();
            return writer.toByteArray();
        }

        private void constructor(ClassWriter writer, Type[] captured) {
            MethodVisitor to = writer.visitMethod(ACC_PRIVATE, "<init>",
                    Type.getMethodDescriptor(Type.VOID_TYPE, captured),
                    null, null);
            to.visitCode();
            to.visitVarInsn(ALOAD, 0);
            to.visitMethodInsn(INVOKESPECIAL, "java/lang/Object", "<init>", "()V", false);
            int at = 1;
            for (int i = 0; i < captured.length; i++) {
                to.visitVarInsn(ALOAD, 0);
                to.visitVarInsn(captured[i].getOpcode(ILOAD), at);
                to.visitFieldInsn(PUTFIELD, name, "c" + i, captured[i].getDescriptor());
                at += captured[i].getSize();
            }
            end(to, RETURN);
        }

        /** {@code of} makes one; where nothing is captured there is one for all. */
        private void factory(ClassWriter writer, Type[] captured) {
            String self = "L" + name + ";";
            if (captured.length == 0) {
                writer.visitField(ACC_PRIVATE | ACC_STATIC | ACC_FINAL, "ONE", self, null, null).visitEnd();
                MethodVisitor once = writer.visitMethod(ACC_STATIC, "<clinit>", "()V", null, null);
                once.visitCode();
                make(once, captured);
                once.visitFieldInsn(PUTSTATIC, name, "ONE", self);
                end(once, RETURN);
            }
            MethodVisitor to = writer.visitMethod(ACC_STATIC, "of", shape.getDescriptor(), null, null);
            to.visitCode();
            if (captured.length == 0) {
                to.visitFieldInsn(GETSTATIC, name, "ONE", self);
            } else {
                make(to, captured);
            }
            end(to, ARETURN);
        }

        private void make(MethodVisitor to, Type[] captured) {
            to.visitTypeInsn(NEW, name);
            to.visitInsn(DUP);
            int at = 0;
            for (Type type : captured) {
                to.visitVarInsn(type.getOpcode(ILOAD), at);
                at += type.getSize();
            }
            to.visitMethodInsn(INVOKESPECIAL, name, "<init>", Type.getMethodDescriptor(Type.VOID_TYPE, captured),
                    false);
        }

        /** The interface's method: what was captured and what it is given go on to what it calls. */
        private void act(ClassWriter writer, Type[] captured) {
            MethodVisitor to = writer.visitMethod(ACC_PUBLIC, method, erased.getDescriptor(), null, null);
            to.visitCode();
            boolean makes = calls.getTag() == H_NEWINVOKESPECIAL;
            if (makes) {
                to.visitTypeInsn(NEW, calls.getOwner());
                to.visitInsn(DUP);
            }
            var wanted = new ArrayList<Type>();
            if (calls.getTag() != H_INVOKESTATIC && !makes) {
                wanted.add(Type.getObjectType(calls.getOwner()));
            }
            wanted.addAll(List.of(Type.getArgumentTypes(calls.getDesc())));
            for (int i = 0; i < captured.length; i++) {
                to.visitVarInsn(ALOAD, 0);
                to.visitFieldInsn(GETFIELD, name, "c" + i, captured[i].getDescriptor());
                adapt(to, captured[i], wanted.get(i));
            }
            Type[] given = erased.getArgumentTypes();
            int at = 1;
            for (int i = 0; i < given.length; i++) {
                to.visitVarInsn(given[i].getOpcode(ILOAD), at);
                at += given[i].getSize();
                adapt(to, given[i], precise.getArgumentTypes()[i]);
                adapt(to, precise.getArgumentTypes()[i], wanted.get(captured.length + i));
            }
            int how = switch (calls.getTag()) {
                case H_INVOKESTATIC -> INVOKESTATIC;
                case H_NEWINVOKESPECIAL -> INVOKESPECIAL;
                default -> calls.isInterface() ? INVOKEINTERFACE : INVOKEVIRTUAL;
            };
            to.visitMethodInsn(how, calls.getOwner(), calls.getName(), calls.getDesc(), calls.isInterface());
            Type came = makes ? Type.getObjectType(calls.getOwner()) : Type.getReturnType(calls.getDesc());
            Type due = erased.getReturnType();
            if (due.getSort() == Type.VOID) {
                if (came.getSize() > 0) {
                    to.visitInsn(came.getSize() == 2 ? POP2 : POP);
                }
            } else {
                adapt(to, came, precise.getReturnType());
                adapt(to, precise.getReturnType(), due);
            }
            end(to, due.getOpcode(IRETURN));
        }

        private static void end(MethodVisitor to, int with) {
            to.visitInsn(with);
            to.visitMaxs(0, 0);
            to.visitEnd();
        }

        /** The conversions that a call allows: casts, boxes, widening of numbers. */
        private static void adapt(MethodVisitor to, Type from, Type into) {
            if (from.equals(into)) {
                return;
            }
            if (primitive(from) && primitive(into)) {
                widen(to, from, into);
            } else if (primitive(from)) {
                to.visitMethodInsn(INVOKESTATIC, box(from), "valueOf", "(" + from + ")L" + box(from) + ";", false);
            } else if (primitive(into)) {
                Type boxed = from;
                Type held = unboxed(from);
                if (held == null) { // a wider type than a box: it can be the one that belongs to the number alone
                    held = into;
                    boxed = Type.getObjectType(box(into));
                    to.visitTypeInsn(CHECKCAST, boxed.getInternalName());
                }
                to.visitMethodInsn(INVOKEVIRTUAL, boxed.getInternalName(), held.getClassName() + "Value", "()" + held,
                        false);
                widen(to, held, into);
            } else if (!into.getInternalName().equals("java/lang/Object")) {
                to.visitTypeInsn(CHECKCAST, into.getInternalName());
            }
        }

        private static void widen(MethodVisitor to, Type from, Type into) {
            if (from.equals(into)) {
                return;
            }
            int target = into.getSort();
            int code = switch (from.getSort()) {
                case Type.LONG -> target == Type.FLOAT ? L2F : L2D;
                case Type.FLOAT -> F2D;
                default -> target == Type.LONG ? I2L : target == Type.FLOAT ? I2F : target == Type.DOUBLE ? I2D : NOP;
            };
            to.visitInsn(code);
        }

        private static boolean primitive(Type type) {
            return type.getSort() < Type.ARRAY;
        }

        private static String box(Type type) {
            return switch (type.getSort()) {
                case Type.BOOLEAN -> "java/lang/Boolean";
                case Type.CHAR -> "java/lang/Character";
                case Type.BYTE -> "java/lang/Byte";
                case Type.SHORT -> "java/lang/Short";
                case Type.INT -> "java/lang/Integer";
                case Type.LONG -> "java/lang/Long";
                case Type.FLOAT -> "java/lang/Float";
                default -> "java/lang/Double";
            };
        }

        private static Type unboxed(Type type) {
            return Stream.of(Type.BOOLEAN_TYPE, Type.CHAR_TYPE, Type.BYTE_TYPE, Type.SHORT_TYPE, Type.INT_TYPE,
                    Type.LONG_TYPE, Type.FLOAT_TYPE, Type.DOUBLE_TYPE)
                    .filter(p -> box(p).equals(type.getInternalName())).findFirst().orElse(null);
        }
    }
}
